"""The program `rackpost-gateway`."""

from rackpost.gateway import process
from rackpost import logs
from rackpost.platform import settings
from rackpost import site_program


async def serve(
    host: settings.HostSettings, signals: site_program.Signals
) -> None:
    """Serve clients until a planned stop."""
    gateway = process.Gateway(host=host)
    async with gateway.serving():
        gateway.site.spawn(signals.watch(gateway.reload))
        await signals.stop.wait()
        await gateway.stop()


def main() -> None:
    """Run the program."""
    site_program.run(logs.Part.GATEWAY, serve)


if __name__ == "__main__":
    main()

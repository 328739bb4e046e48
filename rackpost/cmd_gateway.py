"""The program `rackpost-gateway`."""

if __name__ == "__main__":
    # First, as it ignores SIGHUP until the program handles it.
    from rackpost import start  # noqa: F401

import functools
import os

from rackpost.gateway import policy as policy_mod
from rackpost.gateway import process
from rackpost import logs
from rackpost.platform import settings
from rackpost import site_program


async def serve(
    policy: policy_mod.Policy,
    host: settings.HostSettings,
    signals: site_program.Signals,
) -> None:
    """Run a gateway until a stop signal."""
    if not (policy.split and policy.share):
        logs.say(
            logs.Part.GATEWAY,
            "Parts are left out.",
            split=policy.split,
            share=policy.share,
        )
    gateway = process.Gateway(host=host, policy=policy)
    async with gateway.serving():
        gateway.site.tasks.keep(
            functools.partial(signals.watch, gateway.reload)
        )
        await signals.stop.wait()
        await gateway.stop()


def main() -> None:
    """Run the program."""
    policy = site_program.read_or_exit(
        lambda: policy_mod.from_environment(os.environ)
    )
    site_program.run(
        logs.Part.GATEWAY,
        functools.partial(serve, policy),
        check=settings.check_gateway,
    )


if __name__ == "__main__":
    main()

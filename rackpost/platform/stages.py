"""The platform's names of the endpoints' roles."""

from rackpost import types

_ROLES = {"prefill": types.Role.PREFILL, "decode": types.Role.DECODE}
_NAMES = {role: name for name, role in _ROLES.items()}


def role_of(name: str) -> types.Role:
    """The role of a stage; what is not known here is a plain endpoint."""
    return _ROLES.get(name, types.Role.PLAIN)


def is_known(name: str) -> bool:
    """Whether a stage is one of the platform's; plain endpoints have none."""
    return not name or name in _ROLES


def name_of(role: types.Role) -> str:
    """The stage of a role that has one: prefill or decode."""
    return _NAMES[role]

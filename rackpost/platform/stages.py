"""The platform's names of endpoint roles."""

from rackpost import types

_ROLES = {"prefill": types.Role.PREFILL, "decode": types.Role.DECODE}
_NAMES = {role: name for name, role in _ROLES.items()}


def role_of(name: str) -> types.Role:
    """Return the role of a stage; an unknown stage is a plain endpoint."""
    return _ROLES.get(name, types.Role.PLAIN)


def is_known(name: str) -> bool:
    """Whether a stage is known; plain endpoints have an empty one."""
    return not name or name in _ROLES


def name_of(role: types.Role) -> str:
    """Return the stage of a role; only prefill and decode have one."""
    return _NAMES[role]

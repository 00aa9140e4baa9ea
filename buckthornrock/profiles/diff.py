"""Lists the JSON paths where two JSON values differ."""

N_PATHS = 20


def differing_paths(one: object, other: object, path: str = "$") -> tuple[str, ...]:
    """Return the JSON paths where the values differ, at most ``N_PATHS`` of them."""
    return tuple(_walk(one, other, path))[:N_PATHS]


def _walk(one: object, other: object, path: str) -> list[str]:
    if one == other:
        return []
    if not isinstance(one, dict) or not isinstance(other, dict):
        return [path]
    keys = sorted(one.keys() | other.keys())
    return [
        found
        for key in keys
        for found in _walk(one.get(key), other.get(key), f"{path}.{key}")
    ]

"""Decides whether a call to a plain service may be repeated."""

from ..profiles.document import Profile, Route

#: Methods that RFC 9110 defines as safe; routes in the profile take precedence.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def is_repeatable(profile: Profile, service: str, method: str, path: str) -> bool:
    """Tell whether the call is idempotent and may be sent twice.

    The matching route with the longest path prefix decides; without a match, the
    method does. Among routes of equal length, one that is not repeatable wins.
    """
    bare_path = path.partition("?")[0]
    matches = [
        route
        for route in profile["routes"]
        if _matches(route, service, method, bare_path)
    ]
    if not matches:
        return method in SAFE_METHODS
    longest = max(len(route["path_prefix"]) for route in matches)
    return all(
        route["repeatable"] for route in matches if len(route["path_prefix"]) == longest
    )


def _matches(route: Route, service: str, method: str, path: str) -> bool:
    if route["service"] != service or route["method"] not in (method, "*"):
        return False
    return path.startswith(route["path_prefix"])

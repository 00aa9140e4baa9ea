"""Finds out whether a call to a plain service may be repeated."""

from ..profiles.document import Profile, Route

#: Methods that RFC 9110 defines as safe; routes in the profile go before this.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


def is_repeatable(profile: Profile, service: str, method: str, path: str) -> bool:
    """Tell whether sending the call twice does no harm.

    The matching route with the longest path prefix decides, then the method. Of
    equally long ones the cautious one decides.
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

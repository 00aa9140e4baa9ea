"""The limit of concurrent calls, so that a hanging service can't block all threads."""

import pytest
from expression import Error

from buckthornrock.dispatch.errors import TooManyCalls
from buckthornrock.dispatch.requests import Caller, ServiceRequest
from buckthornrock.dispatch.services import ServiceDispatcher
from buckthornrock.profiles.errors import UnknownProfile

REQUEST = ServiceRequest(
    request_id="r",
    caller=Caller("a", ""),
    profile="default",
    service="orders",
    method="POST",
    path="/",
    headers={},
    body=b"",
    idempotency_key="",
    deadline_at_ms=1_000.0,
)


class ReentrantProfiles:
    """Makes a second call while the first is running."""

    def __init__(self):
        self.call_again = None
        self.second = None

    def current(self, name):
        call_again, self.call_again = self.call_again, None
        if call_again is not None:
            self.second = call_again()
        return Error(UnknownProfile(name))


# With a key, an earlier call with the same key may have run.
@pytest.mark.parametrize(("key", "not_run"), [("", "true"), ("k", "unknown")])
def test_calls_beyond_the_limit_are_refused_with_the_right_not_run(key, not_run):
    profiles = ReentrantProfiles()
    dispatcher = ServiceDispatcher(
        None, None, profiles, None, None, None, None, max_calls=1
    )
    request = REQUEST._replace(idempotency_key=key)
    profiles.call_again = lambda: dispatcher.run(request)
    first = dispatcher.run(request)
    assert profiles.second.error == TooManyCalls("orders", not_run)
    assert first.error == UnknownProfile("default")
    assert dispatcher.run(request).error == UnknownProfile("default")

"""Completions on an instance that knows no accepted profile yet."""

from types import SimpleNamespace

import pytest
from expression import Ok

from buckthornrock.dispatch import Caller
from buckthornrock.entry.completions import build_request
from buckthornrock.entry.deferred import submit_deferred
from buckthornrock.entry.errors import UnknownWorkClass
from buckthornrock.entry.parsing import parse_completion
from buckthornrock.profiles import ProfileRecord
from buckthornrock.profiles.start import start_profile

BODY = {"model": "small", "prompt": "A linen coat."}
CALLER = Caller("paddock", "shop")


def build_context(trust):
    record = ProfileRecord("default", 0, start_profile(), trust)
    return SimpleNamespace(
        profiles=SimpleNamespace(current=lambda name: Ok(record)),
        clock=SimpleNamespace(now_ms=lambda: 0.0, wall_ms=lambda: 0),
        default_profile="default",
    )


def request_of(trust):
    fields = parse_completion(BODY, False).ok
    headers = {"x-work-class": "blurbs"}
    return build_request(build_context(trust), CALLER, "r1", BODY, fields, headers)


def test_unknown_work_class_is_served_as_default_class_of_start_profile():
    request = request_of("start")
    assert request.is_ok(), request.error
    assert request.ok.work_class == start_profile()["work_classes"]["urgent"]


@pytest.mark.parametrize("trust", ["peer", "kv"])
def test_unknown_work_class_of_an_accepted_profile_is_refused(trust):
    assert request_of(trust).error == UnknownWorkClass("default", "blurbs")


def test_deferred_request_may_be_retried_until_a_profile_is_accepted(monkeypatch):
    refused = []
    monkeypatch.setattr(
        "buckthornrock.entry.deferred.refuse",
        lambda context, exchange, failure, request_id, caller: refused.append(failure),
    )
    submit_deferred(build_context("start"), None, request_of("start").ok, False)
    assert [failure.code for failure in refused] == ["no-trusted-profile"]
    assert refused[0].retry_after_ms > 0

"""Requests over real sockets, from callers through one instance to stand-ins."""

import pytest

from buckthornrock.commands.demo_steps import STEPS
from buckthornrock.commands.demo_world import start_world


@pytest.fixture(scope="module")
def world():
    world = start_world()
    yield world
    world.stop()


@pytest.mark.parametrize(("title", "step"), STEPS, ids=[title for title, _ in STEPS])
def test_demo_step_holds(world, title, step):
    assert step(world) == ""


BAD_REQUESTS = [
    ("/v1/completions", b"{", 400, "bad-request"),
    ("/v1/completions", b"[]", 400, "bad-request"),
    ("/v1/completions", b'{"model": "small"}', 400, "bad-request"),
    ("/v1/completions", b'{"model": "none", "prompt": "x"}', 503, "no-engine"),
    ("/v1/nothing", b"{}", 404, "no-such-path"),
    ("/services/none/x", b"{}", 503, "no-server"),
]


@pytest.mark.parametrize(("path", "raw", "status", "code"), BAD_REQUESTS)
def test_bad_request_gets_typed_problem(world, path, raw, status, code):
    headers = {"Authorization": "Bearer demo-caller-key"}
    url = world.entry_url + path
    response = world.http.request("POST", url, body=raw, headers=headers)
    assert response.status == status
    assert response.json()["code"] == code
    assert response.json()["not_run"] is True


@pytest.mark.parametrize("authorization", ["", "Bearer nope", "Basic x"])
def test_unknown_key_is_refused(world, authorization):
    headers = {"Authorization": authorization}
    url = world.entry_url + "/v1/completions"
    response = world.http.request("POST", url, body=b"{}", headers=headers)
    assert (response.status, response.json()["code"]) == (401, "unauthenticated")


def test_operator_port_refuses_caller_key(world):
    headers = {"Authorization": "Bearer demo-caller-key"}
    url = world.operator_url + "/statusz"
    assert world.http.request("GET", url, headers=headers).status == 401

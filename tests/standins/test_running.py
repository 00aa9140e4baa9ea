"""A set of stand-ins from a parameters file."""

import msgspec
import urllib3

from buckthornrock.standins.parameters import load_parameters
from buckthornrock.standins.running import start_standins


def test_parts_of_file_are_started(tmp_path):
    path = tmp_path / "parameters.json"
    engine = {"id": "engine-0", "parameters": {"models": ["small", "large"]}}
    path.write_bytes(msgspec.json.encode({"engines": [engine], "cache_store_port": 0}))
    standins = start_standins(load_parameters(str(path)).ok)
    http = urllib3.PoolManager(retries=False)
    load = http.request("GET", f"http://127.0.0.1:{standins.ports['engine-0']}/load")
    url = f"http://127.0.0.1:{standins.ports['control']}/summary"
    summary = http.request("GET", url).json()
    standins.stop()
    assert load.json()["models"] == ["small", "large"]
    assert set(standins.ports) == {"engine-0", "cache_store", "control"}
    assert summary["engines"]["engine-0"]["n_prompt_tokens"] == 0


def test_unknown_key_is_reported(tmp_path):
    path = tmp_path / "parameters.json"
    path.write_bytes(b'{"motors": []}')
    assert [p.id for p in load_parameters(str(path)).error] == ["SET-E001"]

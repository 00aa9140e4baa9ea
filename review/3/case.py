"""A tenant becomes isolated; does another tenant still run on the KV cache it made?"""

import http.client
import json
import os
import sys
import tempfile
import time
import traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))

from gateway import Machine, Record, free_port, loopback_ips  # noqa: E402
from servers import ModelServer  # noqa: E402
from store import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "m1"
HOST = "shop.example"
PART = "5c1e07a2"
#: configMs is 2 s; the requests that are judged come much later.
AFTER_CHANGE_S = 6.0


def configuration(version, is_isolated):
    """Return a configuration with two tenants; the first may be isolated."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r1",
                "host": HOST,
                "pathPrefix": "/sort/",
                "routeKind": "streaming",
                "timeoutMs": 12000,
                "sloMs": 1500,
                "priority": 2,
                "service": "tagger",
                "attempts": 1,
                "public": False,
                "sticky": True,
                "resumable": False,
                "gapSloMs": 400,
            }
        ],
        "services": [
            {
                "name": "tagger",
                "healthPath": "/healthz",
                "maxConns": 230,
                "proto": "h1",
                "tls": False,
                "engine": {
                    "slots": 32,
                    "kvCapacity": 172330,
                    "kvBytes": 35136,
                    "linkMbps": 550000.0,
                    "models": [{"name": MODEL}],
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "first", "apiKeys": ["key-of-first"], "isolated": is_isolated},
            {"name": "second", "apiKeys": ["key-of-second"], "isolated": False},
        ],
    }


def ask(machine, record, request_id, tenant):
    """Send one request of a tenant; return the status."""
    host, _, port = machine.front.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=13)
    connection.request(
        "POST",
        "/sort/bale",
        b"{}",
        {
            "Host": HOST,
            "X-Buckthornrock-Request-Id": request_id,
            "X-Buckthornrock-Model": MODEL,
            "X-Buckthornrock-Token-Count": "17020,40",
            "X-Buckthornrock-Prefix-Hash": f"{PART}:13300,{request_id}:3720",
            "X-Buckthornrock-Deadline-Ms": "12000",
            "Authorization": f"Bearer key-of-{tenant}",
        },
    )
    response = connection.getresponse()
    response.read()
    record(f"client: request {request_id} of tenant {tenant} is answered {response.status}")
    connection.close()
    return response.status


def main():
    record = Record(HERE / "record.txt")
    folder = tempfile.mkdtemp()
    store_ip, server_ip, ip = loopback_ips(3)
    store = Store(store_ip)
    server = ModelServer(server_ip, store, record, "tagger", "i-1", model=MODEL)
    store.write(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
    store.write("op/config", configuration(1, is_isolated=False))
    ports = [free_port(ip) for _ in range(4)]
    machine = Machine(folder, "edge-qld-a-1", ip, ports, "qld-a", store.address, [ip])
    machine.start()
    try:
        if not machine.wait_ready():
            record("the machine was not ready")
            return 2
        if ask(machine, record, "aaaa0001", "first") != 200:
            return 2
        if TROUBLE:
            store.write("op/config", configuration(2, is_isolated=True))
            record("operator: version 2 is acknowledged, tenant first is isolated from now on")
        time.sleep(AFTER_CHANGE_S)
        if ask(machine, record, "bbbb0002", "second") != 200:
            return 2
    finally:
        machine.stop()
    isolated = {"first"} if TROUBLE else set()
    broken = [use for use in server.uses if use[1] != use[4] and isolated & {use[1], use[4]}]
    record(f"uses of another tenant's cache: {json.dumps(server.uses)}; broken: {len(broken)}")
    return 1 if broken else 0


if __name__ == "__main__":
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    os._exit(code)

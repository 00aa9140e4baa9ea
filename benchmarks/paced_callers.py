"""Callers that read paced streams and print what each token was delayed by."""

import http.client
import os
import sys
import threading
import time

import msgspec


class _Samples:
    """Delays in microseconds, collected by every caller thread."""

    def __init__(self) -> None:
        self.first_token_us: list[float] = []
        self.token_delay_us: list[float] = []
        self.n_broken = 0


def _call(address: str, key: str, n_tokens: int, pace_ms: int, out: _Samples) -> None:
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=30)
    body = {"model": "small", "prompt": os.urandom(400).hex(), "stream": True}
    body |= {"max_tokens": n_tokens, "pace_ms": pace_ms}
    headers = {"Authorization": f"Bearer {key}", "X-Request-Id": os.urandom(8).hex()}
    started_ns = time.monotonic_ns()
    connection.request("POST", "/v1/completions", msgspec.json.encode(body), headers)
    response = connection.getresponse()
    n_seen = 0
    for line in response:
        now_ns = time.monotonic_ns()
        if not line.startswith(b"data: {"):
            continue
        sent_ns = int(msgspec.json.decode(line[6:])["choices"][0]["text"])
        if n_seen == 0:
            first_us = (now_ns - started_ns) / 1000.0 - pace_ms * 1000.0
            out.first_token_us.append(first_us)
        out.token_delay_us.append((now_ns - sent_ns) / 1000.0)
        n_seen += 1
    out.n_broken += n_seen != n_tokens
    connection.close()


def main() -> None:
    """Run streams side by side, again and again, and print the samples as JSON."""
    address, key, n_streams, n_rounds, n_tokens, pace_ms = sys.argv[1:7]
    samples = _Samples()

    def repeat(index: int) -> None:
        # Starts are spread over the time of one stream, as independent callers'
        # are; starting all at once would measure a queue of request heads.
        stream_s = int(n_tokens) * int(pace_ms) / 1000.0
        time.sleep(stream_s * index / int(n_streams))
        for _ in range(int(n_rounds)):
            _call(address, key, int(n_tokens), int(pace_ms), samples)

    threads = [
        threading.Thread(target=repeat, args=(index,))
        for index in range(int(n_streams))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(msgspec.json.encode(vars(samples)).decode())


if __name__ == "__main__":
    main()

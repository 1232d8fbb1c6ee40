"""Sends recorded arrivals to daemons over persistent connections and writes the results."""

import json
from argparse import ArgumentParser, Namespace
from pathlib import Path
from time import monotonic

import anyio

from standins.cluster import SERVICE
from standins.serving import announce
from tools.bench.arrivals import Arrival, read_arrivals
from tools.bench.caller import Answer, HttpClient

START_DELAY_S = 0.5
RUN_TIMEOUT_S = 60.0
STATUS_OK = 200


class LoadProgram:
    """Open-loop load generator: sends each arrival at its time, regardless of earlier ones."""

    def __init__(self, urls: list[str], arrivals: list[Arrival]) -> None:
        self._http_clients = [HttpClient(url) for url in urls]
        self._arrivals = arrivals
        self.rows: list[dict] = []

    async def run(self) -> None:
        """Sends all arrivals and waits for the responses."""
        start_s = monotonic() + START_DELAY_S
        with anyio.move_on_after(RUN_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                for number, arrival in enumerate(self._arrivals):
                    due_s = start_s + arrival.at_s
                    await anyio.sleep(max(0.0, due_s - monotonic()))
                    group.start_soon(self._send, number, arrival, due_s)

    async def _send(self, number: int, arrival: Arrival, due_s: float) -> None:
        sent_s = monotonic()
        row = {"number": number, "due_s": due_s, "sent_s": sent_s, "outcome": "lost"}
        self.rows.append(row)
        try:
            row.update(await self._exchange(arrival))
        except Exception as error:
            row["code"] = repr(error)
        row["ended_s"] = monotonic()

    async def _exchange(self, arrival: Arrival) -> dict:
        http_client = self._http_clients[arrival.daemon % len(self._http_clients)]
        if len(arrival.work_s) == 1:
            return await self._request(http_client, arrival.work_s[0])
        return await self._submit(http_client, arrival.work_s)

    async def _request(self, http_client: HttpClient, work_s: float) -> dict:
        body = json.dumps({"run_time_s": work_s}).encode()
        answer = await http_client.send("POST", f"/v1/services/{SERVICE}/requests", body)
        outcome = answer.headers.get("berylproxy-outcome", "")
        payloads = [json.loads(answer.body)] if answer.status == STATUS_OK else []
        return describe_answer(outcome, answer, payloads)

    async def _submit(self, http_client: HttpClient, work_s: tuple[float, ...]) -> dict:
        tasks = [
            {"id": f"t{number}", "payload": {"run_time_s": run_time_s}}
            for number, run_time_s in enumerate(work_s)
        ]
        body = json.dumps({"service": SERVICE, "tasks": tasks}).encode()
        answer = await http_client.send("POST", "/v1/jobs", body)
        content = json.loads(answer.body)
        payloads = [result["payload"] for result in content.get("results", [])]
        return describe_answer(content["outcome"], answer, payloads)


def describe_answer(outcome: str, answer: Answer, payloads: list[dict]) -> dict:
    """Returns the fields of a result row that come from a response."""
    return {
        "outcome": outcome,
        "status": answer.status,
        "code": answer.headers.get("berylproxy-code", "") or find_code(answer.body),
        "retry_after": answer.headers.get("retry-after", ""),
        "task_ids": [payload["task_id"] for payload in payloads],
    }


def find_code(body: bytes) -> str:
    """Returns the error code in a response body, or an empty string if there is none."""
    try:
        content = json.loads(body)
    except ValueError:
        return ""
    return content.get("code", "") if isinstance(content, dict) else ""


async def main(arguments: Namespace) -> None:
    """Sends the arrivals of a file and writes the results to another."""
    program = LoadProgram(arguments.urls.split(","), read_arrivals(arguments.arrivals))
    announce()
    await program.run()
    arguments.results.write_text(json.dumps(program.rows))


def run() -> None:
    """Parses the command line and runs the load program."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--urls", required=True)
    parser.add_argument("--arrivals", type=Path, required=True)
    parser.add_argument("--results", type=Path, required=True)
    anyio.run(main, parser.parse_args())


if __name__ == "__main__":
    run()

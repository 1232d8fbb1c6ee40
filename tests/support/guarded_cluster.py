"""A cluster with tokens, peer keys and traces, shared by the features about access to daemons."""

import json
from hashlib import sha256
from pathlib import Path
from tempfile import mkdtemp

from httpx import Response

from tests.support.cluster import SERVICE, Cluster, EndpointPlan

OPERATOR_TOKEN = "operator-token-of-the-tests"
PEER_KEY = "peer-key-of-the-tests"
TEAM_TOKENS = {"north": "token-of-team-north", "south": "token-of-team-south"}
SECRETS = (OPERATOR_TOKEN, PEER_KEY, *TEAM_TOKENS.values())
OPEN_TEAM = "open"
SPAN_DELAY_MS = "50"
OPERATOR = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}

_SHARED: list["GuardedCluster"] = []


class GuardedCluster(Cluster):
    """Cluster whose daemons authenticate operators, teams and each other."""

    def __init__(self, folder: Path) -> None:
        self.trace_path = folder / "traces.jsonl"
        environment = {
            "BERYLPROXY_OPERATOR_TOKENS": OPERATOR_TOKEN,
            "BERYLPROXY_PEER_KEYS": PEER_KEY,
            "BERYLPROXY_TRACE_TARGET": str(self.trace_path),
            "BERYLPROXY_LOG_LEVEL": "debug",
            "OTEL_BSP_SCHEDULE_DELAY": SPAN_DELAY_MS,
        }
        plans = [EndpointPlan("a"), EndpointPlan("b")]
        super().__init__(folder, ["a", "a", "b"], plans, environment=environment)
        self.client.headers.update(OPERATOR | {"Berylproxy-Team": OPEN_TEAM})

    def write_records(self) -> None:
        """Applies the records of the base class and those of the teams."""
        super().write_records()
        quotas = {"schema_version": 1, "max_running_tasks": 100, "max_waiting_tasks": 100}
        self.apply("teams", OPEN_TEAM, quotas)
        for name, token in TEAM_TOKENS.items():
            digest = sha256(token.encode()).hexdigest()
            self.apply("teams", name, quotas | {"token_sha256": [digest]})

    def call(
        self, method: str, path: str, *, daemon: int = 0, team: str = "", **options
    ) -> Response:
        """Calls a daemon.

        :param daemon: index of the daemon.
        :param team: team whose name and token are sent; empty sends the operator's token and the
            name of a team that needs no token.
        """
        headers = options.pop("headers", {})
        if team:
            token = TEAM_TOKENS[team]
            headers = headers | {"Berylproxy-Team": team, "Authorization": f"Bearer {token}"}
        return self.client.request(method, self.url(daemon) + path, headers=headers, **options)

    def mint(self, daemon: int = 0, team: str = "") -> str:
        """Has a daemon mint one identifier."""
        response = self.call("POST", "/v1/job-ids", daemon=daemon, team=team, json={})
        return response.json()["ids"][0]

    def submit(
        self, job_id: str, tasks: list[dict], *, daemon: int = 0, team: str = "", **options
    ) -> Response:
        """Submits a job and waits for its answer."""
        body = {"id": job_id, "service": SERVICE, "tasks": tasks}
        return self.call("POST", "/v1/jobs", daemon=daemon, team=team, json=body, **options)

    def read_log(self, name: str) -> str:
        """Returns a daemon's log so far."""
        return (self.folder / f"{name}.stderr").read_text()

    def read_spans(self, trace_id: str) -> list[dict]:
        """Returns the spans of a trace that are in the trace file so far."""
        if not self.trace_path.exists():
            return []
        # The last line may be incomplete, as it is still being written.
        lines = self.trace_path.read_text().split("\n")[:-1]
        spans = [json.loads(line) for line in lines]
        return [span for span in spans if span["context"]["trace_id"] == f"0x{trace_id}"]


def share_guarded_cluster(context) -> GuardedCluster:
    """Returns the cluster that all scenarios of the test run share; starts it at the first call."""
    if not _SHARED:
        cluster = GuardedCluster(Path(mkdtemp(prefix="berylproxy-border-")))
        context.add_cleanup(cluster.stop, layer="testrun")
        cluster.start()
        for number in range(len(cluster.daemons)):
            cluster.wait_until(lambda number=number: _has_teams(cluster, number), "the teams")
        _SHARED.append(cluster)
    return _SHARED[0]


def _has_teams(cluster: GuardedCluster, daemon: int) -> bool:
    records = cluster.call("GET", "/v1/records/teams", daemon=daemon).json()["records"]
    return len(records) == 1 + len(TEAM_TOKENS)

"""A cluster whose daemons, links, endpoints and store can be made to fail one by one."""

from dataclasses import dataclass, field, replace
from time import monotonic

from httpx import HTTPError

from standins.process import ManagedProcess
from tests.support.cluster import Cluster
from tests.support.history import EndpointEvent, History

CLOSED_TARGET = "127.0.0.1:1"  # refuses connections until the daemon's port is known
STATE_TIMEOUT_S = 30.0


@dataclass
class ProvingCluster(Cluster):
    """A cluster with a relay in front of each daemon's peer address; restarts ended processes.

    :param relays: one relay for each daemon, in the same order.
    :param changed_endpoints: names of the endpoints whose records a test has changed.
    """

    relays: list[ManagedProcess] = field(default_factory=list)
    changed_endpoints: set[str] = field(default_factory=set)

    def start(self) -> None:
        """Starts the relays, then the other processes."""
        for number, _ in enumerate(self.daemon_domains):
            arguments = ["-m", "standins.relay", "--target", CLOSED_TARGET]
            self.relays.append(self._start(f"relay{number}", arguments))
        super().start()

    def start_daemon(self, number: int, domain: str, name: str = "") -> ManagedProcess:
        """Starts a daemon behind its relay."""
        addresses = [f"127.0.0.1:{relay.announced['port']}" for relay in self.relays]
        own_address = addresses.pop(number)
        variables = {
            "BERYLPROXY_DRAIN_GRACE_S": "0.5",
            **self.environment,
            "BERYLPROXY_DAEMON_ID": f"d{number}",
            "BERYLPROXY_FAILURE_DOMAIN": domain,
            "BERYLPROXY_HTTP_ADDRESS": "127.0.0.1:0",
            "BERYLPROXY_PEER_ADDRESS": own_address,
            "BERYLPROXY_PEER_LISTEN_ADDRESS": "127.0.0.1:0",
            "BERYLPROXY_PEERS": ",".join(addresses),
            "BERYLPROXY_STORE_URLS": self.store.url,
            "BERYLPROXY_VM_LIST_URL": self.store.url,
        }
        name = name or f"d{number}"
        daemon = self._start(name, ["-m", "berylproxy.daemon"], environment=variables)
        self.control(self.relays[number], target=daemon.announced["peer_address"], cut=False)
        return daemon

    def kill_daemon(self, number: int) -> None:
        """Kills a daemon; its peer address refuses connections from then on."""
        self.daemons[number].kill()
        self.control(self.relays[number], cut=True)

    def restart_daemon(self, number: int) -> None:
        """Starts a new run of a daemon that has ended."""
        self.daemons[number] = self.start_daemon(number, self.daemon_domains[number])

    def kill_endpoint(self, number: int) -> None:
        """Kills an endpoint."""
        self.endpoints[number].kill()

    def restart_endpoint(self, number: int) -> None:
        """Starts an endpoint that has ended again on the same port."""
        ended_endpoint = self.endpoints[number]
        arguments = [*ended_endpoint.arguments, "--port", str(ended_endpoint.announced["port"])]
        self.endpoints[number] = self._start(f"e{number}", arguments)

    def cut_links(self, *numbers: int) -> None:
        """Cuts all connections to the peer addresses of these daemons."""
        for number in numbers:
            self.control(self.relays[number], cut=True)

    def undo_failures(self) -> None:
        """Undoes all failures and waits until the cluster has recovered."""
        self.control(self.store, outage=False, delay_s=0.0, lose_answers=0, vms=[])
        for number, daemon in enumerate(self.daemons):
            daemon.resume()
            if not daemon.is_running():
                self.restart_daemon(number)
            self.control(self.relays[number], cut=False, delay_s=0.0, lose_share=0.0)
        for number, endpoint in enumerate(self.endpoints):
            if not endpoint.is_running():
                self.restart_endpoint(number)
            endpoint.resume()
            self.control(
                self.endpoints[number],
                fail_everything=False,
                freeze=False,
                leaving=False,
                truncate=False,
                oversize_bytes=0,
                late_s=0.0,
            )
        for name in list(self.changed_endpoints):
            number = int(name.removeprefix("e"))
            plan = self.endpoint_plans[number]
            self.change_record("endpoints", name, leaving=False, slots=plan.slots)
        self.changed_endpoints.clear()
        for daemon in self.daemons:
            self.wait_until(
                lambda daemon=daemon: self._has_converged(daemon), daemon.name, STATE_TIMEOUT_S
            )

    def change_record(self, kind: str, name: str, daemon: int = 0, **fields: object) -> None:
        """Changes fields of a record through a daemon; retries until the change is accepted."""
        url = f"{self.url(daemon)}/v1/records/{kind}/{name}"
        self.wait_until(lambda: self._change_record(url, fields), f"{kind}/{name} is changed")
        if kind == "endpoints":
            self.changed_endpoints.add(name)

    def _change_record(self, url: str, fields: dict[str, object]) -> bool:
        read_response = self.client.get(url)
        headers = {"If-Match": read_response.headers["ETag"]}
        write_response = self.client.put(
            url, json=read_response.json()["record"] | fields, headers=headers
        )
        return write_response.status_code == 200

    def is_ready(self, daemon: int) -> bool:
        """Returns whether a load balancer would send new work to a daemon."""
        try:
            return self.client.get(f"{self.url(daemon)}/readyz").status_code == 200
        except HTTPError:
            return False

    def count_store_calls(self, kind: str) -> int:
        """Returns how many calls of a kind the store has received."""
        return self.client.get(f"{self.store.url}/control/counts").json()["calls"].get(kind, 0)

    def read_peer_status(self, daemon: int, peer: int) -> str:
        """Returns a peer's status in a daemon's member list; empty if the peer isn't listed."""
        for listed_peer in self.read_status(daemon)["peers"]:
            if listed_peer["daemon_id"] == f"d{peer}":
                return listed_peer["status"]
        return ""

    def collect_events(self, history: History) -> None:
        """Replaces the events of a history by those in the endpoints' logs."""
        history.events = [
            EndpointEvent(
                line["event"], line["task_id"], line["endpoint"], line["time_s"], line["status"]
            )
            for line in self.read_events()
        ]

    def count_running(self, job_id: str) -> int:
        """Returns how many tasks of a job have started and not ended at their endpoints."""
        running = 0
        for event in self.read_events():
            if event["task_id"].startswith(f"{job_id}/"):
                running += {"start": 1, "end": -1}.get(event["event"], 0)
        return running

    def find_running_endpoint(self, job_id: str) -> int:
        """Returns the number of an endpoint at which a task of a job is running."""
        running: dict[str, str] = {}
        for event in self.read_events():
            if event["task_id"].startswith(f"{job_id}/"):
                if event["event"] == "start":
                    running[event["task_id"]] = event["endpoint"]
                elif event["event"] == "end":
                    running.pop(event["task_id"], None)
        return int(next(iter(running.values())).removeprefix("e"))

    def end_leaving_period(self, history: History, endpoint: str) -> None:
        """Ends the period in which an endpoint must get no new work."""
        now_s = monotonic()
        history.leaving = [
            (
                replace(period, until_s=now_s)
                if period.endpoint == endpoint and period.until_s > now_s
                else period
            )
            for period in history.leaving
        ]

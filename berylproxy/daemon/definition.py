"""The arguments of berylproxyd. Their checks are in :mod:`berylproxy.settings`."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

TextFlag = str | None


@command(
    name="berylproxyd",
    help="Dispatches tasks to endpoints",
    description=(
        "Every flag has an environment variable, BERYLPROXY_ and its name in capitals; the flag "
        "goes first. BERYLPROXY_OPERATOR_TOKENS and BERYLPROXY_PEER_KEYS have no flags."
    ),
)
@dataclass
class Arguments:
    """The flags; ``None`` where one is not given."""

    daemon_id: Annotated[TextFlag, Arg(long=True, help="Name of this daemon")] = None
    failure_domain: Annotated[TextFlag, Arg(long=True, help="Its failure domain")] = None
    http_address: Annotated[
        TextFlag, Arg(long=True, help="IP:PORT for callers and operators [127.0.0.1:8080]")
    ] = None
    peer_address: Annotated[
        TextFlag, Arg(long=True, help="IP:PORT for other daemons [127.0.0.1:8081]")
    ] = None
    peer_listen_address: Annotated[
        TextFlag, Arg(long=True, help="IP:PORT to listen on for them, if it is another one")
    ] = None
    peers: Annotated[
        TextFlag, Arg(long=True, help="Peer addresses of other daemons, with commas between")
    ] = None
    store_urls: Annotated[
        TextFlag, Arg(long=True, help="URLs of the key-value service, with commas between")
    ] = None
    vm_list_url: Annotated[TextFlag, Arg(long=True, help="URL of the list of VMs")] = None
    cluster: Annotated[TextFlag, Arg(long=True, help="Name of the cluster [berylproxy]")] = None
    tls_certificate: Annotated[TextFlag, Arg(long=True, help="PEM file for HTTPS")] = None
    tls_key: Annotated[TextFlag, Arg(long=True, help="PEM file of its private key")] = None
    log_level: Annotated[TextFlag, Arg(long=True, help="debug, info, warning or error [info]")] = (
        None
    )
    trace_target: Annotated[TextFlag, Arg(long=True, help="OTLP URL or file for traces [none]")] = (
        None
    )
    drain_grace_s: Annotated[
        TextFlag, Arg(long=True, help="Seconds for the balancer to see a planned stop [2]")
    ] = None
    drain_timeout_s: Annotated[
        TextFlag, Arg(long=True, help="Longest wait of a planned stop in seconds [60]")
    ] = None

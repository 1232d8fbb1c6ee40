"""Command-line arguments of berylproxyd; :mod:`berylproxy.settings` validates them."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

OptionalText = str | None


@command(
    name="berylproxyd",
    help="Dispatches tasks to endpoints",
    description=(
        "Every flag has an environment variable, BERYLPROXY_ and its name in capitals; the flag "
        "takes precedence. BERYLPROXY_OPERATOR_TOKENS and BERYLPROXY_PEER_KEYS have no flags."
    ),
)
@dataclass
class Arguments:
    """Values of the flags; ``None`` for a flag that is not given."""

    daemon_id: Annotated[OptionalText, Arg(long=True, help="Name of this daemon")] = None
    failure_domain: Annotated[
        OptionalText, Arg(long=True, help="Failure domain of this daemon")
    ] = None
    http_address: Annotated[
        OptionalText, Arg(long=True, help="IP:PORT for callers and operators [127.0.0.1:8080]")
    ] = None
    peer_address: Annotated[
        OptionalText, Arg(long=True, help="IP:PORT for other daemons [127.0.0.1:8081]")
    ] = None
    peer_listen_address: Annotated[
        OptionalText,
        Arg(long=True, help="IP:PORT to listen on for other daemons, if not the peer address"),
    ] = None
    peers: Annotated[
        OptionalText, Arg(long=True, help="Peer addresses of other daemons, comma-separated")
    ] = None
    store_urls: Annotated[
        OptionalText, Arg(long=True, help="URLs of the key-value service, comma-separated")
    ] = None
    vm_list_url: Annotated[OptionalText, Arg(long=True, help="URL of the list of VMs")] = None
    cluster: Annotated[OptionalText, Arg(long=True, help="Name of the cluster [berylproxy]")] = None
    tls_certificate: Annotated[OptionalText, Arg(long=True, help="PEM file for HTTPS")] = None
    tls_key: Annotated[OptionalText, Arg(long=True, help="PEM file of its private key")] = None
    log_level: Annotated[
        OptionalText, Arg(long=True, help="debug, info, warning or error [info]")
    ] = None
    trace_target: Annotated[
        OptionalText, Arg(long=True, help="OTLP URL or file for traces [none]")
    ] = None
    drain_grace_s: Annotated[
        OptionalText,
        Arg(long=True, help="Seconds for the load balancer to notice a planned stop [2]"),
    ] = None
    drain_timeout_s: Annotated[
        OptionalText, Arg(long=True, help="Longest wait of a planned stop in seconds [60]")
    ] = None
    memory_mb: Annotated[
        OptionalText,
        Arg(long=True, help="Memory of the daemon in MB; a quarter is for requests [1024]"),
    ] = None
    max_descriptors: Annotated[
        OptionalText,
        Arg(long=True, help="File descriptors of the daemon; half are for callers [1024]"),
    ] = None

"""Validates records locally, against the schemas that this version of berylctl knows."""

from berylproxy.cli.inputs import RecordEntry
from berylproxy.client.errors import RecordRefusedError
from berylproxy.records.errors import RecordError, SchemaVersionUnknownError
from berylproxy.records.schemas import parse_record


def check_records(records: list[RecordEntry], *, allow_newer_schema: bool = False) -> None:
    """Validates each record independently of the others.

    :param allow_newer_schema: accepts records with an unknown schema version, which a newer daemon
        may know.
    :raises RecordRefusedError: for the first invalid record.
    """
    for record in records:
        try:
            parse_record(record.kind, record.name, record.record)
        except RecordError as error:
            if allow_newer_schema and isinstance(error, SchemaVersionUnknownError):
                continue
            raise RecordRefusedError(error.message, hint=error.hint, code=error.code) from error

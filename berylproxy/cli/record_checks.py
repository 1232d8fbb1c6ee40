"""Checks records without a daemon, against the schemas that this berylctl knows."""

from berylproxy.cli.inputs import RecordFile
from berylproxy.client.errors import RecordRefusedError
from berylproxy.records.errors import RecordError, SchemaVersionUnknownError
from berylproxy.records.schemas import parse_record


def check_records(records: list[RecordFile], *, newer_allowed: bool = False) -> None:
    """Checks each record by itself.

    :param newer_allowed: passes records in schema versions that only a newer daemon may know.
    :raises RecordRefusedError: for the first that is wrong.
    """
    for record in records:
        try:
            parse_record(record.kind, record.name, record.record)
        except RecordError as error:
            if newer_allowed and isinstance(error, SchemaVersionUnknownError):
                continue
            raise RecordRefusedError(error.message, hint=error.hint, code=error.code) from error

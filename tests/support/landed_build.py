"""Checks the landed version of the product out of the repository's history."""

import io
import subprocess
import sys
import tarfile
from pathlib import Path

from msgpack import packb, unpackb

from standins.process import ROOT
from tests.support import reencode

LANDED_COMMIT = "0c47294111de0d22f5e2ddfbfb606a9c5baf19f8"
"""The last landed version, beside which daemons of this one must run during an upgrade."""


def check_out_landed(folder: Path) -> Path:
    """Unpacks the landed version's package into a folder from which it can be started.

    :raises subprocess.CalledProcessError: if the repository's history lacks the commit.
    :raises RuntimeError: if a process that starts in the folder would import another package.
    """
    archive = subprocess.run(
        ["git", "archive", LANDED_COMMIT, "berylproxy"], cwd=ROOT, capture_output=True, check=True
    )
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter="data")
    command = [sys.executable, "-c", "import berylproxy; print(berylproxy.__file__)"]
    imported = subprocess.run(command, cwd=folder, capture_output=True, check=True, text=True)
    if not Path(imported.stdout.strip()).is_relative_to(folder.resolve()):
        raise RuntimeError(f"{folder} is not imported from: {imported.stdout.strip()}")
    return folder


def reencode_by_landed(pairs: list[tuple[str, bytes]], folder: Path) -> list[tuple[str, bytes]]:
    """Lets the landed build decode messages and records and encode them again.

    :param pairs: kind of each encoding, as in :mod:`tests.support.reencode`, and its bytes.
    :param folder: folder with the landed package.
    """
    source = Path(reencode.__file__).read_text()
    process = subprocess.run(
        [sys.executable, "-c", source], cwd=folder, input=packb(pairs), capture_output=True
    )
    if process.returncode:
        raise RuntimeError(process.stderr.decode(errors="replace"))
    return [(kind, data) for kind, data in unpackb(process.stdout)]

"""Replaces the entry point of an archive that shiv has built.

The new entry point is ``program_main.py``.
Usage: ``python packaging/seal.py ARCHIVE PROGRAM``.
"""

import sys
import zipfile
from pathlib import Path

MAIN = "__main__.py"
SHEBANG = b"#!/usr/bin/env python3\n"
EXECUTABLE = 0o755


def seal(archive, program):
    """Write the program: the archive with the program's own ``__main__``.

    Parameters
    ----------
    archive, program : Path
        Archive that shiv has built, and the file to write.
    """
    entry = Path(__file__).with_name("program_main.py").read_text()
    with program.open("wb") as raw:
        raw.write(SHEBANG)
        with (
            zipfile.ZipFile(archive) as source,
            zipfile.ZipFile(raw, "w", zipfile.ZIP_DEFLATED) as target,
        ):
            for item in source.infolist():
                if item.filename != MAIN:
                    target.writestr(item, source.read(item))
            target.writestr(MAIN, entry)
    program.chmod(EXECUTABLE)


if __name__ == "__main__":
    seal(Path(sys.argv[1]), Path(sys.argv[2]))

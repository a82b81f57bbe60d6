"""Entry point of the single-file program, the archive's ``__main__``.

Compiled libraries cannot be loaded from within an archive, so the program
unpacks itself once.  It uses the folder in CURRANTDEAL_UNPACK_FOLDER, or
``.currantdeal`` next to the file.  It never uses the home folder, since the
user of a service may not have one.
"""

import os
import sys
from pathlib import Path

FOLDER_VARIABLE = "CURRANTDEAL_UNPACK_FOLDER"
FOLDER_NAME = ".currantdeal"


def start():
    """Unpack the archive if needed and run the command line."""
    beside = Path(sys.argv[0]).resolve().parent / FOLDER_NAME
    folder = os.environ.get(FOLDER_VARIABLE) or str(beside)
    os.environ["SHIV_ROOT"] = folder
    try:
        Path(folder).mkdir(parents=True, exist_ok=True)
    except OSError as exc:
        sys.exit(
            f"error: cannot unpack into {folder}: {exc.strerror}\n"
            f"next: name a writable folder in {FOLDER_VARIABLE}"
        )
    from _bootstrap import bootstrap

    bootstrap()


start()

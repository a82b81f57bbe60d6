"""Entry of the one-file program; becomes ``__main__`` of the archive.

Compiled libraries cannot be loaded from within an archive, so it unpacks
itself once.  The folder is the one that CURRANTDEAL_UNPACK_FOLDER names, or
``.currantdeal`` beside the file: never the home folder, which a service's
user may lack.
"""

import os
import sys
from pathlib import Path

FOLDER_VARIABLE = "CURRANTDEAL_UNPACK_FOLDER"
FOLDER_NAME = ".currantdeal"


def start():
    """Unpack if needed, and run the command line."""
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

import ast
from pathlib import Path

import currantdeal

ROOT = Path(currantdeal.__file__).parent

# From inside to outside: a package may import what stands before it.
ALLOWED = {
    "core": set(),
    "policy": {"core"},
    "state": {"core"},
    "ports": {"core", "state"},
    "consensus": {"core"},
    "membership": {"core", "ports", "state", "policy"},
    "serving": {"core", "ports", "state", "policy", "membership"},
    "adapters": {
        "core",
        "ports",
        "state",
        "policy",
        "consensus",
        "membership",
        "serving",
    },
    "cli": {
        "core",
        "ports",
        "state",
        "policy",
        "consensus",
        "membership",
        "serving",
        "adapters",
    },
    "testing": {"core", "ports", "state", "policy", "adapters"},
}


def _imported_packages(path):
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom) and node.module:
            names = [node.module]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        for name in names:
            parts = name.split(".")
            if parts[0] == "currantdeal" and len(parts) > 1:
                yield parts[1]


def test_every_package_is_listed():
    found = {
        path.name for path in ROOT.iterdir() if (path / "__init__.py").exists()
    }
    assert found - {"tests"} == set(ALLOWED)


def test_dependencies_point_inward():
    wrong = [
        (str(path.relative_to(ROOT)), package)
        for name, allowed in ALLOWED.items()
        for path in (ROOT / name).rglob("*.py")
        if "tests" not in path.parts
        for package in _imported_packages(path)
        if package in ALLOWED and package not in allowed | {name}
    ]
    assert wrong == []

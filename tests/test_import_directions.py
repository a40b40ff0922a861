"""Tests that packages import only from lower layers, as docs/ARCHITECTURE.md defines them.

The tests parse the sources with `ast`, so an import inside a function counts like one at module
level. The rule on `model` and `testkit` is an exception: commands may import them in functions.
"""

import ast
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[1] / "corkgauge"

# From the lowest layer to the highest. A package may import from lower layers, but not from other
# packages of the same layer.
LAYERS = (
    ("policy",),
    ("config",),
    ("eventloop",),
    ("accounting", "flow_export", "recovery"),
    ("membership",),
    ("leases",),
    ("maintenance", "peer_health"),
    ("net", "simulator"),
    ("daemon",),
    ("commands",),
    ("__main__",),
)
HEIGHT = {package: height for height, layer in enumerate(LAYERS) for package in layer}
# Packages that test the program; serving packages never load them.
TEST_PACKAGES = ("model", "testkit")
# Packages that import no other package of the program, even from a lower layer.
STANDALONE = ("policy", "eventloop")
# Names directly in `corkgauge`, which all packages but the standalone ones may import.
SHARED_BY_ALL = ("VERSION", "errors")

# Disallowed imports that are tolerated for now: number of names, by importing module and imported
# package. The numbers are exact: an additional import fails the test, and so does an entry whose
# import has been removed.
EXCEPTIONS = {
    # `safe_file_name`, which turns a gateway's name into a file name, is used by both packages that
    # store files. The entry can go once that function is in a layer below both.
    ("recovery/service.py", "accounting"): 1,
}


class Import(NamedTuple):
    """A name that a module imports."""

    module: str  # path below `corkgauge/`
    package: str  # first part of that path
    name: str  # full dotted name, which starts with `corkgauge`
    target: str  # package that holds the name
    at_module_level: bool


def imported_names(node: ast.AST, path: Path) -> list[str]:
    """Return the dotted names that an import statement imports, relative ones as absolute."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if not isinstance(node, ast.ImportFrom):
        return []
    if not node.level:
        return [f"{node.module}.{alias.name}" for alias in node.names]
    package = ["corkgauge", *path.relative_to(ROOT).parts[:-1]]
    package = package[: len(package) - node.level + 1]
    base = ".".join([*package, *([node.module] if node.module else [])])
    return [f"{base}.{alias.name}" for alias in node.names]


def imports_of(path: Path, source: str) -> list[Import]:
    """Return all names of the program that a file imports."""
    tree = ast.parse(source)
    in_functions = {
        id(inner)
        for function in ast.walk(tree)
        if isinstance(function, ast.FunctionDef | ast.AsyncFunctionDef)
        for inner in ast.walk(function)
    }
    relative = path.relative_to(ROOT)
    package = relative.parts[0].removesuffix(".py")
    return [
        Import(relative.as_posix(), package, name, name.split(".")[1], id(node) not in in_functions)
        for node in ast.walk(tree)
        for name in imported_names(node, path)
        if name.startswith("corkgauge.")
    ]


def all_imports() -> list[Import]:
    return [
        imported
        for path in sorted(ROOT.rglob("*.py"))
        if path != ROOT / "__init__.py"
        for imported in imports_of(path, path.read_text(encoding="utf-8"))
    ]


def is_allowed(imported: Import) -> bool:
    """Return whether an import is allowed; imports within a package are."""
    if imported.target == imported.package:
        return True
    if imported.package in STANDALONE:
        return False
    if imported.target in SHARED_BY_ALL:
        return True
    return imported.target in HEIGHT and HEIGHT[imported.target] < HEIGHT[imported.package]


def disallowed_imports(imports: list[Import]) -> Counter[tuple[str, str]]:
    """Count imports of serving packages from higher or equal layers, by module and package.

    Imports of and by `model` and `testkit` are left out, as a separate rule covers them.
    """
    return Counter(
        (imported.module, imported.target)
        for imported in imports
        if imported.package not in TEST_PACKAGES
        and imported.target not in TEST_PACKAGES
        and not is_allowed(imported)
    )


def test_every_package_is_in_a_layer() -> None:
    packages = {path.name for path in ROOT.iterdir() if (path / "__init__.py").exists()}

    assert packages - set(HEIGHT) - set(TEST_PACKAGES) == set()


def test_imports_point_downwards() -> None:
    assert disallowed_imports(all_imports()) == Counter(EXCEPTIONS)


def test_policy_and_eventloop_import_no_other_package_of_the_program() -> None:
    other_imports = [
        imported
        for imported in all_imports()
        if imported.package in STANDALONE and imported.target != imported.package
    ]

    assert other_imports == []


def test_serving_packages_import_no_model_or_testkit_at_module_level() -> None:
    test_imports = [
        imported
        for imported in all_imports()
        if imported.target in TEST_PACKAGES
        and imported.package not in TEST_PACKAGES
        and imported.at_module_level
    ]

    assert test_imports == []


def test_only_commands_import_model_or_testkit_in_functions() -> None:
    importing_packages = {
        imported.package
        for imported in all_imports()
        if imported.target in TEST_PACKAGES and imported.package not in TEST_PACKAGES
    }

    assert importing_packages <= {"commands"}


@pytest.mark.parametrize(
    ("module", "source"),
    [
        pytest.param("policy/x.py", "import corkgauge.config.settings", id="policy-config"),
        pytest.param("policy/x.py", "from corkgauge.errors import E", id="policy-errors"),
        pytest.param("eventloop/x.py", "from corkgauge.config import platform", id="loop-config"),
        pytest.param("net/x.py", "from corkgauge.daemon import process", id="net-daemon"),
        pytest.param("net/x.py", "from corkgauge.simulator import host", id="sideways"),
        pytest.param("net/x.py", "from ..daemon import process", id="relative"),
        pytest.param("net/x.py", "from .. import daemon", id="relative-package"),
        pytest.param(
            "membership/x.py",
            "def late():\n    from corkgauge.leases import service",
            id="inside-a-function",
        ),
    ],
)
def test_disallowed_import_is_found(module: str, source: str) -> None:
    assert len(disallowed_imports(imports_of(ROOT / module, source))) == 1

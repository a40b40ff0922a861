"""The names in docs/ARCHITECTURE.md exist: each file, class and class member in backticks.

Without this check a rename leaves the page pointing at names that a reader cannot find.
"""

import ast
import re
from collections import defaultdict
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1]
PAGE = ROOT / "docs" / "ARCHITECTURE.md"
QUOTED = re.compile(r"`([^`]+)`")
CLASS_MEMBER = re.compile(r"(?:[a-z_]+\.)*([A-Z][A-Za-z]+)\.([a-z_]+)")
CLASS = re.compile(r"(?:[a-z_]+\.)*([A-Z][a-z]+[A-Za-z]*)")
FILE = re.compile(r"(?:[a-z_]+/)*[a-z_]+\.py")


def read_definitions():
    """Return the members of each class of the program by class name."""
    members_by_class = defaultdict(set)
    for path in sorted((ROOT / "corkgauge").rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                members_by_class[node.name] |= read_members(node)
                for base in node.bases:
                    if isinstance(base, ast.Name):
                        members_by_class[node.name].add(f"base {base.id}")
    return members_by_class


def read_members(class_node):
    """Return the methods, class attributes and attributes of `self` that a class defines."""
    members = set()
    for node in ast.walk(class_node):
        if isinstance(node, ast.FunctionDef):
            members.add(node.name)
        elif isinstance(node, ast.AnnAssign | ast.Assign):
            targets = node.targets if isinstance(node, ast.Assign) else [node.target]
            for target in targets:
                if isinstance(target, ast.Attribute):
                    members.add(target.attr)
                elif isinstance(target, ast.Name):
                    members.add(target.id)
    return members


def has_member(members_by_class, class_name, member):
    """Return whether the class or one of its bases defines the member."""
    members = members_by_class.get(class_name, set())
    bases = [each.removeprefix("base ") for each in members if each.startswith("base ")]
    return member in members or any(has_member(members_by_class, base, member) for base in bases)


MEMBERS_BY_CLASS = read_definitions()
QUOTED_TEXTS = sorted(set(QUOTED.findall(PAGE.read_text())))


@pytest.mark.parametrize("text", [each for each in QUOTED_TEXTS if CLASS_MEMBER.fullmatch(each)])
def test_quoted_member_exists(text):
    class_name, member = CLASS_MEMBER.fullmatch(text).groups()
    assert has_member(MEMBERS_BY_CLASS, class_name, member)


@pytest.mark.parametrize("text", [each for each in QUOTED_TEXTS if CLASS.fullmatch(each)])
def test_quoted_class_exists(text):
    assert CLASS.fullmatch(text).group(1) in MEMBERS_BY_CLASS


@pytest.mark.parametrize("text", [each for each in QUOTED_TEXTS if FILE.fullmatch(each)])
def test_quoted_file_exists(text):
    assert (ROOT / text).exists() or (ROOT / "corkgauge" / text).exists()

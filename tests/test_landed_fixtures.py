"""Stored files, datagrams and answers stay as they were, as `fixtures/landed` has them.

The fixtures are written by `fixtures/write_landed.py`; a test here that fails says that a file of
an earlier version is read otherwise, that an instance of an earlier version would be told
something else, or that an operator's reader would miss a key.
"""

import gzip
import json
from typing import Any

import pytest

from tests import landed_samples as samples


def stored(name: str) -> Any:
    return json.loads((samples.FOLDER / name).read_text(encoding="utf-8"))


def stored_octets(name: str) -> bytes:
    return gzip.decompress((samples.FOLDER / f"{name}.gz").read_bytes())


def as_json(value: Any) -> Any:
    """A value as it comes back from a fixture: tuples as lists, octets as hexadecimal digits."""
    return json.loads(json.dumps(value, default=bytes.hex))


FILE_VALUES = stored("files.json")
DATAGRAMS = stored("datagrams.json")
OPERATOR_VALUES = stored("operator.json")
ANSWERS = stored("answers.json")


@pytest.mark.parametrize("name", FILE_VALUES)
def test_stored_file_is_read_as_recorded(name: str) -> None:
    assert as_json(samples.READERS[name](stored_octets(name))) == FILE_VALUES[name]


@pytest.mark.parametrize("name", FILE_VALUES)
def test_file_is_written_as_stored(name: str) -> None:
    assert samples.FILES[name]() == stored_octets(name)


def test_every_sample_file_has_a_fixture() -> None:
    assert sorted(samples.FILES) == sorted(samples.READERS) == sorted(FILE_VALUES)


def test_snapshot_of_the_service_has_the_keys_of_the_stored_one(tmp_path: Any) -> None:
    written = samples.snapshot_read(samples.recovery_snapshot_of_service(str(tmp_path)))

    assert samples.keys_of(as_json(written)).keys() == FILE_VALUES["n1.recall"].keys()


def test_plan_is_cut_into_the_chunks_as_stored() -> None:
    assert samples.plan_piece_by_piece() == stored("chunks.json")["chunks"]


def test_stored_chunks_give_the_recorded_plan() -> None:
    fixture = stored("chunks.json")

    assert as_json(samples.plan_of_chunks(fixture["chunks"])) == fixture["plan"]


def test_voter_configurations_have_the_recorded_marks() -> None:
    assert samples.rolls() == stored("rolls.json")


@pytest.mark.parametrize("name", DATAGRAMS)
def test_datagram_is_written_as_stored(name: str) -> None:
    assert samples.datagram(name).hex() == DATAGRAMS[name]["octets"]


@pytest.mark.parametrize("name", DATAGRAMS)
def test_stored_datagram_is_taken_as_recorded(name: str) -> None:
    taken = samples.opened(bytes.fromhex(DATAGRAMS[name]["octets"]))

    assert as_json(list(taken)) == DATAGRAMS[name]["opened"]


@pytest.mark.parametrize("name", DATAGRAMS)
def test_handlers_understand_every_stored_datagram(name: str) -> None:
    taken = samples.opened(bytes.fromhex(DATAGRAMS[name]["octets"]))

    assert taken.not_understood == 0


def test_every_kind_of_datagram_has_a_fixture() -> None:
    assert sorted(samples.SENDERS) == sorted(DATAGRAMS)


@pytest.mark.parametrize("name", OPERATOR_VALUES)
def test_operator_file_is_read_as_recorded(name: str) -> None:
    assert samples.operator_values(samples.FOLDER / name) == OPERATOR_VALUES[name]


def test_every_operator_file_has_recorded_values() -> None:
    files = [path.name for path in samples.FOLDER.glob("operator-*.xml")]

    assert sorted(files) == sorted(OPERATOR_VALUES)


@pytest.mark.parametrize("name", ANSWERS)
def test_listener_answers_with_the_recorded_keys(name: str) -> None:
    assert as_json(samples.http_answer(name)) == ANSWERS[name]


def test_every_question_has_a_recorded_answer() -> None:
    assert sorted(samples.QUESTIONS) == sorted(ANSWERS)

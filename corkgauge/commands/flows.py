"""`corkgauge flows`: listen, report, dump."""

import json
import sys
from collections.abc import Iterator
from datetime import UTC
from pathlib import Path
from typing import Any

import click

from corkgauge.commands import FOUND, InputError
from corkgauge.commands.shared_options import json_option

BATCH = 10_000  # rows of one group in a Parquet file
MOST_MESSAGE = 65_535


@click.group("flows")
def command() -> None:
    """Flow records: a collector to try with, reports, captures.

    \b
    corkgauge flows listen --write night.parquet
    """


def need(module: str, extra: str) -> Any:
    from importlib import import_module

    try:
        return import_module(module)
    except ImportError:
        raise InputError(f"{module} is not installed: pip install corkgauge[{extra}]") from None


class Out:
    """Rows to a file: Parquet where its name ends in .parquet, else a JSON object a line."""

    def __init__(self, path: str) -> None:
        self.path, self.rows, self.writer = path, list[dict[str, Any]](), None
        self.parquet = path.endswith(".parquet")
        if self.parquet:
            self.arrow = need("pyarrow", "reports")
            self.library = need("pyarrow.parquet", "reports")
        else:
            self.file = open(path, "w", encoding="utf-8")

    def put(self, row: dict[str, Any]) -> None:
        if not self.parquet:
            print(json.dumps(row), file=self.file)
            return
        self.rows.append(row)
        if len(self.rows) >= BATCH:
            self._write()

    def _write(self) -> None:
        table = self.arrow.Table.from_pylist(self.rows)
        if self.writer is None:
            self.writer = self.library.ParquetWriter(self.path, table.schema, compression="zstd")
        self.writer.write_table(table)
        self.rows = []

    def close(self) -> None:
        if not self.parquet:
            return self.file.close()
        if self.rows:
            self._write()
        if self.writer is not None:
            self.writer.close()


@command.command()
@click.option(
    "--port", type=click.IntRange(0, 65_535), default=4739, show_default=True, help="On 127.0.0.1."
)
@click.option("--transport", type=click.Choice(["udp", "tcp"]), default="udp", show_default=True)
@click.option(
    "--seconds", type=click.FloatRange(0.1), default=0.0, help="End after so long; else by Ctrl-C."
)
@click.option("--write", "path", metavar="FILE", help="Write rows: .parquet, or JSON lines.")
@click.option("--capture", metavar="FILE", help="Keep the messages as they came, for `dump`.")
@json_option("Print rows as JSON lines.")
def listen(
    port: int, transport: str, seconds: float, path: str | None, capture: str | None, as_json: bool
) -> None:
    """A collector on loopback: prints the records that it receives, or writes them.

    \b
    corkgauge flows listen --write night.parquet
    Ends with 1 if anything came that could not be decoded.
    """
    from corkgauge.eventloop.loop import SECOND, EventLoop
    from corkgauge.flow_export.report_rows import rows_of
    from corkgauge.testkit.emulators.collector import EmulatedCollector

    event_loop, count = EventLoop(), [0, 0, 0]
    out = Out(path) if path else None
    kept = open(capture, "wb") if capture else None

    def heard(message: Any, data: bytes) -> None:
        count[0] += 1
        count[2] += message.missed
        if kept:
            kept.write(len(data).to_bytes(4, "big") + data)
        for row in rows_of(message):
            count[1] += 1
            if out:
                out.put(row)
            elif as_json:
                print(json.dumps(row), flush=True)
            else:
                print(line_of(row), flush=True)

    try:
        collector = EmulatedCollector(event_loop, transport, heard, ("127.0.0.1", port))
    except OSError as problem:
        raise InputError(f"127.0.0.1:{port}: {problem.strerror}") from None
    click.echo(f"listening on 127.0.0.1:{collector.address[1]} ({transport})", err=True)
    until = event_loop.now + int(seconds * SECOND)
    try:
        while not seconds or event_loop.now < until:
            event_loop.turn(200)
    except KeyboardInterrupt:
        pass
    if out:
        out.close()
    if kept:
        kept.close()
    click.echo(
        f"{count[0]} messages, {count[1]} records, {count[2]} missed, "
        f"{len(collector.errors)} wrong",
        err=True,
    )
    for line in collector.errors[:5]:
        click.echo(line, err=True)
    raise SystemExit(FOUND if collector.errors else 0)


def line_of(row: dict[str, Any]) -> str:
    whose = f"{row['hall']}/{row['engine']}" if row["engine"] or row["hall"] else row["side"]
    ends = f"{row['source']}:{row['source_port']} > {row['target']}:{row['target_port']}"
    why = row["reason"]
    octets = f"{row['forward']:>9} there {row['reverse']:>9} back"
    return f"{row['last_ms']} {row['gateway'] or row['domain']} {whose:24} {ends:44} {octets} {why}"


def read_rows(path: str) -> Iterator[dict[str, Any]]:
    """Rows of a Parquet file, or of JSON lines."""
    from corkgauge.flow_export.report_rows import COLUMNS

    if path.endswith(".parquet"):
        library = need("pyarrow.parquet", "reports")
        try:
            for batch in library.ParquetFile(path).iter_batches():
                yield from batch.to_pylist()
        except (OSError, ValueError) as problem:
            raise InputError(f"{path}: {problem}") from None
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        for number, line in enumerate(file, 1):
            try:
                row = json.loads(line)
                missing = [name for name in COLUMNS if name not in row]
            except (ValueError, TypeError) as problem:
                raise InputError(f"{path}:{number}: not a row ({problem})") from None
            if missing:
                raise InputError(f"{path}:{number}: a row without {missing[0]}")
            yield row


@command.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--span",
    type=click.FloatRange(1),
    default=60.0,
    show_default=True,
    help="Seconds of one column.",
)
@click.option("--plot", metavar="FILE", help="An SVG plot, a panel a hall and a line an engine.")
@json_option("The sums as JSON, for programs.")
def report(files: tuple[str, ...], span: float, plot: str | None, as_json: bool) -> None:
    """Octets by hall, engine and minute, from files that `listen` wrote.

    \b
    corkgauge flows report night.parquet --plot night.svg
    """
    from corkgauge.flow_export.report_rows import octets_by_span

    sums = octets_by_span((row for path in files for row in read_rows(path)), int(span * 1000))
    if plot:
        draw(sums, plot, span)
    if as_json:
        print(
            json.dumps(
                [
                    {
                        "hall": zone,
                        "engine": engine,
                        "spans": [
                            {"begin_ms": begin, "there": there, "back": back}
                            for begin, (there, back) in spans.items()
                        ],
                    }
                    for (zone, engine), spans in sums.items()
                ]
            )
        )
        return
    from rich.console import Console

    from corkgauge.commands.tables import plain_table

    begins = sorted({begin for spans in sums.values() for begin in spans})
    table = plain_table(
        "octets to and from engines",
        "hall",
        ("engine", *(clock(begin) for begin in begins[-12:]), "all"),
    )
    for (zone, engine), spans in sums.items():
        cells = [f"{sum(spans[begin])}" if begin in spans else "" for begin in begins[-12:]]
        table.add_row(zone, engine, *cells, str(sum(sum(each) for each in spans.values())))
    Console().print(table)


def clock(begin_ms: int) -> str:
    from datetime import datetime

    return datetime.fromtimestamp(begin_ms / 1000, UTC).strftime("%H:%M:%S")


def draw(sums: dict, path: str, span: float) -> None:
    """One panel a hall, so that a hall's fall stands beside the others' course."""
    matplotlib = need("matplotlib", "reports")
    matplotlib.use("svg")
    from matplotlib import pyplot

    zones = sorted({zone for zone, _ in sums})
    begins = sorted({begin for spans in sums.values() for begin in spans})
    figure, panels = pyplot.subplots(
        max(len(zones), 1),
        1,
        sharex=True,
        sharey=True,
        squeeze=False,
        figsize=(9, 2.4 * max(len(zones), 1) + 0.6),
    )
    for panel, zone in zip(panels[:, 0], zones):
        for (where, engine), spans in sums.items():
            if where == zone:
                panel.plot(
                    [(begin - begins[0]) / 1000 for begin in begins],
                    [sum(spans.get(begin, (0, 0))) / span / 1000 for begin in begins],
                    label=engine,
                    lw=1.5,
                )
        panel.set_title(zone or "(no hall told)", loc="left", fontsize=10)
        panel.set_ylabel("kB a second")
        panel.grid(alpha=0.3)
        panel.legend(loc="upper right", fontsize=8, ncol=4, frameon=False)
    panels[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path)


@command.command()
@click.argument("capture", type=click.Path(exists=True, dir_okay=False))
@json_option("JSON lines, for programs.")
def dump(capture: str, as_json: bool) -> None:
    """Decode a capture: messages, templates, options and records.

    \b
    corkgauge flows dump night.capture
    Ends with 1 if a message could not be decoded.
    """
    from corkgauge.flow_export.decoder import Decoder, MalformedMessageError

    decoder, data, at, wrong = Decoder(), Path(capture).read_bytes(), 0, 0
    while at < len(data):
        size = int.from_bytes(data[at : at + 4], "big")
        message = data[at + 4 : at + 4 + size]
        if size > MOST_MESSAGE or len(message) != size:
            raise InputError(f"{capture}: cut short, or no capture, at octet {at}")
        try:
            heard = decoder.decode(message)
        except MalformedMessageError as problem:
            wrong += 1
            print(f"{at}: malformed: {problem}", file=sys.stderr)
        else:
            said = {
                "at": at,
                "version": heard.version,
                "domain": heard.domain,
                "sequence": heard.sequence,
                "exported": heard.export_time_seconds,
                "templates": heard.templates,
                "missed": heard.missed,
                "options": heard.options,
                "records": heard.records,
            }
            print(json.dumps(said, default=repr) if as_json else text_of(said))
        at += 4 + size
    raise SystemExit(FOUND if wrong else 0)


def text_of(said: dict[str, Any]) -> str:
    lines = [
        f"{said['at']}: version {said['version']} domain {said['domain']} "
        f"sequence {said['sequence']} "
        f"templates {said['templates']} missed {said['missed']}"
    ]
    for sort in "options", "records":
        lines += [
            f"    {sort[:-1]} " + " ".join(f"{key}={value}" for key, value in each.items())
            for each in said[sort]
        ]
    return "\n".join(lines)

"""The commands of the operator's program and their exit codes."""

import asyncio
import json
import sys
import typing

import cyclopts

from acaciafield_daemon import settings as settings_files
from acaciafield_operator import definitions
from acaciafield_operator import exit_codes
from acaciafield_operator import fleet as fleets
from acaciafield_operator import publishing
from acaciafield_operator import reports
from acaciafield_operator import status as statuses

IN_FORCE_TIMEOUT_S = 30.0

NodeOption = typing.Annotated[
    str,
    cyclopts.Parameter(
        env_var="ACACIAFIELD_NODE", help="Address of any node."
    ),
]
LogOption = typing.Annotated[
    str,
    cyclopts.Parameter(
        env_var="ACACIAFIELD_LOG", help="URL of the platform's log."
    ),
]
JsonOption = typing.Annotated[
    bool,
    cyclopts.Parameter(name="--json", negative="", help="Print JSON."),
]

app = cyclopts.App(
    name="acaciafield",
    help="""Run the proxy fleet: set targets, see whether they are met.

    Exit codes: 0 done, 1 a target is missed or files differ, 2 bad input,
    3 no node or no log answers, 4 somebody else changed the service first,
    5 not confirmed to be in force everywhere in time.
    """,
)
config = cyclopts.App(name="config", help="Classes of work and targets.")
app.command(config)


@app.command(name="check-settings")
def check_settings(file: str, *, as_json: JsonOption = False):
    """Check a daemon's settings file.

    Example: acaciafield check-settings node.ini
    """
    result = settings_files.read_settings(file)
    findings = result.error if result.is_error() else []
    return _print_findings(file, findings, as_json)


app.command(
    # Loaded when it is used, as it needs the platform's decoder.
    "acaciafield_operator.gateway_check:check_gateway_config",
    name="check-gateway-config",
)


@config.command(name="write")
def write_sample(file: str = "-"):
    """Write a sample file of classes of work for editing.

    Example: acaciafield config write classes.ini
    """
    if file == "-":
        print(definitions.SAMPLE, end="")
        return exit_codes.SUCCESS
    try:
        with open(file, "x", encoding="utf-8") as target:
            target.write(definitions.SAMPLE)
    except OSError as error:
        return _print_error(
            "%s: %s" % (file, error.strerror), exit_codes.BAD_INPUT
        )
    return exit_codes.SUCCESS


@config.command(name="check")
def check_config(file: str, *, as_json: JsonOption = False):
    """Check a file of classes of work.

    Example: acaciafield config check classes.ini
    """
    result = definitions.read_definitions(file)
    findings = result.error if result.is_error() else []
    return _print_findings(file, findings, as_json)


@config.command(name="show")
def show_config(
    *, node: NodeOption, to: str = "-", as_json: JsonOption = False
):
    """Show the configuration in force, as a file that can be edited.

    Example: acaciafield config show --node 10.0.0.5:8080 --to classes.ini
    """

    async def show(fleet):
        document = await fleet.fetch_from_any("config")
        if as_json:
            _print_json(document)
            return exit_codes.SUCCESS
        bodies = {
            name: item["body"]
            for name, item in document["items"].items()
            if item["body"] is not None
        }
        text = definitions.format_definitions(document["offset"], bodies)
        if to == "-":
            print(text, end="")
            return exit_codes.SUCCESS
        with open(to, "w", encoding="utf-8") as target:
            target.write(text)
        return exit_codes.SUCCESS

    return _run_command(show, node)


@config.command(name="diff")
def diff_config(file: str, *, node: NodeOption, as_json: JsonOption = False):
    """Show what publishing a file would change.

    Example: acaciafield config diff classes.ini --node 10.0.0.5:8080
    """
    result = definitions.read_definitions(file)
    if result.is_error():
        return _print_findings(file, result.error, as_json)

    async def diff(fleet):
        document = await fleet.fetch_from_any("config")
        differences = publishing.find_differences(result.ok, document)
        _print_differences(differences, as_json)
        return exit_codes.MISMATCH if differences else exit_codes.SUCCESS

    return _run_command(diff, node)


@config.command(name="publish")
def publish_config(
    file: str,
    *,
    node: NodeOption,
    log: LogOption,
    author: str = "",
    remove: tuple[str, ...] = (),
    timeout: float = IN_FORCE_TIMEOUT_S,
    as_json: JsonOption = False,
):
    """Publish a file and wait until it is in force everywhere.

    Safe to repeat. Example:
    acaciafield config publish classes.ini --node 10.0.0.5:8080
    --log http://10.0.0.2:7001
    """
    result = definitions.read_definitions(file)
    if result.is_error():
        return _print_findings(file, result.error, as_json)

    async def publish(fleet):
        progress = _ignore_progress if as_json else print
        publication = await publishing.publish(
            fleet, result.ok, author, timeout, progress, remove
        )
        if publication.offset:
            _rewrite_base(file, publication.offset)
        return _print_publication(publication, as_json)

    return _run_command(publish, node, log)


@app.command(name="status")
def show_status(*, node: NodeOption, as_json: JsonOption = False):
    """Show the status of the fleet and its problems.

    Example: acaciafield status --node 10.0.0.5:8080
    """

    async def show(fleet):
        answers = await fleet.fetch_from_all("status")
        if as_json:
            _print_json(answers)
        else:
            print("\n".join(statuses.describe_fleet(answers)))
        problems = statuses.has_problems(answers)
        return exit_codes.MISMATCH if problems else exit_codes.SUCCESS

    return _run_command(show, node)


@app.command(name="burn")
def show_burn(
    *, node: NodeOption, html: str = "", as_json: JsonOption = False
):
    """Report how fast each class uses up its allowed misses.

    Example: acaciafield burn --node 10.0.0.5:8080 --html burn.html
    """

    async def show(fleet):
        answers = await fleet.fetch_from_all("burn")
        merged = reports.merge_reports(a for a in answers.values() if a)
        if as_json:
            _print_json([_make_document(r) for r in merged])
        else:
            print("\n".join(reports.format_text(merged)))
        if html:
            with open(html, "w", encoding="utf-8") as page:
                page.write(reports.format_page(merged))
        missed = any(not r.is_met for r in merged)
        return exit_codes.MISMATCH if missed else exit_codes.SUCCESS

    return _run_command(show, node)


def run_program():
    """Run the command line and exit with its code."""
    code = app(result_action="return_value")
    sys.exit(code if isinstance(code, int) else exit_codes.SUCCESS)


def _run_command(command, node, log=""):
    async def run():
        addresses = [n.strip() for n in node.split(",") if n.strip()]
        async with fleets.open_fleet(addresses, log) as fleet:
            return await command(fleet)

    try:
        return asyncio.run(run())
    except fleets.FleetUnreachable as error:
        return _print_error(str(error), exit_codes.UNREACHABLE)
    except OSError as error:
        return _print_error(str(error), exit_codes.BAD_INPUT)


def _print_error(text, code):
    print(text, file=sys.stderr)
    return code


def _ignore_progress(_text):
    """Print nothing."""


def _rewrite_base(file, offset):
    with open(file, encoding="utf-8") as source:
        text = source.read()
    with open(file, "w", encoding="utf-8") as target:
        target.write(definitions.replace_base(text, offset))


def _print_json(document):
    print(json.dumps(document, indent=2, sort_keys=True))


def _make_document(struct):
    return {name: getattr(struct, name) for name in struct.__slots__}


def _print_findings(file, findings, as_json):
    if as_json:
        _print_json([_make_document(f) for f in findings])
    elif not findings:
        print("%s is in order." % file)
    else:
        for finding in findings:
            print(finding, file=sys.stderr)
    return exit_codes.BAD_INPUT if findings else exit_codes.SUCCESS


def _print_differences(differences, as_json):
    if as_json:
        _print_json([_make_document(d) for d in differences])
        return
    if not differences:
        print("Nothing would change.")
    for difference in differences:
        print("%s %s" % (difference.kind, difference.service))
        for line in _list_changes(difference.old, difference.new):
            print("    " + line)


def _list_changes(old, new):
    before = _flatten_body(old or {})
    after = _flatten_body(new or {})
    for name in sorted(set(before) | set(after)):
        if before.get(name) != after.get(name):
            yield "%s: %s -> %s" % (
                name,
                before.get(name, "unset"),
                after.get(name, "unset"),
            )


def _flatten_body(body):
    flat = {k: v for k, v in body.items() if k != "classes"}
    for name, fields in body.get("classes", {}).items():
        for option, value in fields.items():
            flat["%s %s" % (name, option)] = value
    return flat


def _print_publication(publication, as_json):
    results = publishing.Result
    code, text = {
        results.IN_FORCE: (exit_codes.SUCCESS, "In force everywhere."),
        results.NO_CHANGE: (exit_codes.SUCCESS, "Nothing to change."),
        results.CONFLICT: (
            exit_codes.CONFLICT,
            "Somebody else changed the same service first; nothing of "
            "this file was applied. See: acaciafield config diff",
        ),
        results.INVALID: (
            exit_codes.BAD_INPUT,
            "The nodes rejected the change as invalid.",
        ),
        results.PARTLY_IN_FORCE: (
            exit_codes.UNCONFIRMED,
            "Accepted and in force, but not yet on: ",
        ),
        results.UNCONFIRMED: (
            exit_codes.UNCONFIRMED,
            "Not known whether the log stored it. Publishing again is safe.",
        ),
    }[publication.result]
    if publication.result is results.PARTLY_IN_FORCE:
        text += ", ".join(publication.behind)
    if as_json:
        document = _make_document(publication)
        document["result"] = publication.result.value
        _print_json(document)
    else:
        print(text)
    return code

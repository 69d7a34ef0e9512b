"""The command that checks a gateway's configuration document."""

import json
import pathlib
import sys
import typing

import cyclopts

from acaciafield_operator import exit_codes

# The platform's package is not installed; it lies beside the packages.
ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.append(str(ROOT / "platform"))

from acaciafield_platform import configuration_checks  # noqa: E402


def check_gateway_config(
    file: str,
    *,
    in_force: str = "",
    workers: tuple[str, ...] = (),
    quota_window: float = configuration_checks.DEFAULT_QUOTA_WINDOW_S,
    as_json: typing.Annotated[
        bool,
        cyclopts.Parameter(name="--json", negative="", help="Print JSON."),
    ] = False,
):
    """Check a configuration document of the gateway before it is sent.

    Exit codes: 0 in order, 1 findings, 2 a file could not be read. Example:
    acaciafield check-gateway-config new.json --in-force current.json
    --workers orders=12

    Parameters
    ----------
    file
        The document as in op/config, in JSON.
    in_force
        File of the document in force, to which differences are shown.
    workers
        Number of workers of a service, as SERVICE=NUMBER; repeatable.
    quota_window
        The setting quotaWindowS, in seconds.
    """
    counts = {}
    for text in workers:
        service, _, number = text.rpartition("=")
        if not service or not number.isdecimal():
            return _print_error("--workers must be SERVICE=NUMBER: %s" % text)
        counts[service] = int(number)
    result = configuration_checks.read_document(file)
    if result.is_error():
        return _print_error(result.error)
    findings = configuration_checks.find_findings(
        result.ok, counts, quota_window
    )
    differences = None
    if in_force:
        current = configuration_checks.read_document(in_force)
        if current.is_error():
            return _print_error(current.error)
        findings += configuration_checks.check_version(result.ok, current.ok)
        differences = configuration_checks.find_differences(
            result.ok, current.ok
        )
    if as_json:
        _print_json(findings, differences)
    else:
        _print_words(file, findings, differences)
    return exit_codes.MISMATCH if findings else exit_codes.SUCCESS


def _print_error(text):
    print(text, file=sys.stderr)
    return exit_codes.BAD_INPUT


def _print_json(findings, differences):
    document = {"findings": [_make_row(f) for f in findings]}
    if differences is not None:
        document["differences"] = [_make_row(d) for d in differences]
    print(json.dumps(document, indent=2, sort_keys=True))


def _make_row(struct):
    return {name: getattr(struct, name) for name in struct.__slots__}


def _print_words(file, findings, differences):
    for finding in findings:
        print("%s: %s" % (file, finding), file=sys.stderr)
    if not findings:
        print("%s is in order." % file)
    if differences is None:
        return
    for difference in differences:
        print(difference)
    if not differences:
        print("Nothing would change.")

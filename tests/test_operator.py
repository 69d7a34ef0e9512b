"""The files and reports of the operator's program."""

from acaciafield import classes
from acaciafield import outcomes
from acaciafield_daemon import burn
from acaciafield_operator import definitions
from acaciafield_operator import publishing
from acaciafield_operator import reports
from acaciafield_operator import status

Outcome = outcomes.Outcome


def test_sample_is_valid():
    result = definitions.parse_definitions("s.ini", definitions.SAMPLE)
    assert sorted(result.ok.bodies) == ["manuals", "orders", "prices"]
    checks = result.ok.bodies["prices"]["classes"]["price-checks"]
    assert checks == {"target": "quick", "within": 0.3, "share": 0.99}


def test_every_finding_of_a_file_is_reported():
    text = (
        "[prices]\nfloor = lots\nweight = 3\n[prices/checks]\n"
        "target = fast\nwithin = 3 days\n[Orders]\n[manuals]\n"
    )
    result = definitions.parse_definitions("c.ini", text)
    assert [str(f) for f in result.error] == [
        "c.ini:2 [prices] floor: must be a percentage such as 99%, "
        "not 'lots'",
        "c.ini:3 [prices] weight: is no known option",
        "c.ini:5 [prices/checks] target: must be quick, once or finish",
        "c.ini:6 [prices/checks] within: must be a time such as 300 ms or "
        "2 s, not '3 days'",
        "c.ini:7 [Orders]: names must be lower-case letters, digits and "
        "dashes",
        "c.ini:8 [manuals]: has no class of work",
    ]


def test_differences_name_what_would_change():
    body = {"classes": {"checks": {"target": "quick"}}}
    other = {"classes": {"checks": {"target": "once"}}}
    expected = definitions.Definitions(3, {"a": body, "b": body})
    config = {"items": {"a": {"body": other}, "b": {"body": body}}}
    differences = publishing.find_differences(expected, config)
    assert [(d.service, d.kind) for d in differences] == [("a", "change")]


def test_change_identifier_is_the_same_for_the_same_change():
    items = {"a": (3, {"classes": {}})}
    one = publishing.make_change_id(3, items)
    assert one == publishing.make_change_id(3, dict(items))
    assert one != publishing.make_change_id(4, items)


def make_burn(latencies):
    """Return a node's burn document; latencies are in seconds."""
    work_class = classes.WorkClass("checks", classes.Target.QUICK, 0.3, 0.9)
    class_burn = burn.ClassBurn("prices", work_class)
    for latency in latencies:
        class_burn.add_request(Outcome.RAN, 200, latency, 600.0)
    return {"now": 610.0, "classes": [class_burn.describe()]}


def test_burn_of_two_nodes_is_merged():
    answers = [make_burn([0.1] * 18 + [0.5] * 2), make_burn([0.1] * 20)]
    (report,) = reports.merge_reports(answers)
    assert (report.total, report.missed) == (40, 2)
    assert abs(report.long_burn - 0.5) < 1e-9
    assert report.is_met
    assert "target met" in reports.format_text([report])[0]
    page = reports.format_page([report])
    assert page.startswith("<!doctype html>") and "<svg" in page


def test_burn_over_one_misses_the_target():
    (report,) = reports.merge_reports([make_burn([0.1] * 5 + [0.5] * 5)])
    assert abs(report.short_burn - 5.0) < 1e-9
    assert not report.is_met


def make_status(offset=3, log_answers=True):
    """Return a node's status document."""
    return {
        "offset": offset,
        "serving": True,
        "log_answers": log_answers,
        "services": {},
    }


def test_status_of_a_healthy_fleet_names_no_problem():
    answers = {"n1": make_status(), "n2": make_status()}
    assert status.describe_fleet(answers) == [
        "All is well. Nothing needs doing.",
        "2 of 2 nodes answer.",
    ]


def test_status_names_nodes_with_problems():
    answers = {
        "n1": make_status(),
        "n2": make_status(offset=2, log_answers=False),
        "n3": None,
    }
    lines = status.describe_fleet(answers)
    assert lines[0] == "The fleet needs a look:"
    assert "  Node n3 does not answer." in lines
    assert "  Node n2 is behind on the configuration." in lines

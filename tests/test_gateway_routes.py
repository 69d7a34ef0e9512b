"""Look-up of routes, and choice of services by weight."""

from acaciafield.gateway import routes
from tests import gateway_support as support


def make_configuration(*found):
    return routes.Configuration(1, list(found), {}, None)


def test_longest_prefix_of_the_host_is_found():
    short = support.make_route("short", "/a/")
    long = support.make_route("long", "/a/b/")
    other = support.make_route("other", "/a/b/c/", hostname="b.example")
    found = make_configuration(short, long, other)
    assert found.find_route("shop.example", "/a/b/c/d") is long
    assert found.find_route("Shop.example:80", "/a/x") is short
    assert found.find_route("shop.example", "/ab/") is None
    assert found.find_route("none.example", "/a/") is None


def test_services_are_chosen_in_proportion_to_their_weights():
    route = support.make_route(split=[("s1", 90), ("s2", 10)])
    chosen = [route.choose_service("q%d" % n) for n in range(2000)]
    assert 0.07 < chosen.count("s2") / 2000 < 0.13
    assert route.choose_service("q1") == chosen[1]

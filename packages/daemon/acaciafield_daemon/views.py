"""HTTP resources that show a node's state to callers and operators."""

import json

from aiohttp import web

from acaciafield import ejections
from acaciafield import outcomes
from acaciafield_daemon import metrics
from acaciafield_daemon import problems

NOT_RUN = outcomes.Outcome.NOT_RUN


class NodeViews:
    """The resources under the path /.acaciafield/."""

    __slots__ = ("driver",)

    def __init__(self, driver):
        self.driver = driver

    def answer_request(self, request, name):
        """Return the response for a resource of the given name."""
        view = {
            "addresses": self.show_addresses,
            "status": self.show_status,
            "config": self.show_config,
            "burn": self.show_burn,
            "metrics": self.show_metrics,
        }.get(name)
        if view is None:
            return problems.make_problem(
                404, "There is no resource of this name.", NOT_RUN
            )
        return view(request)

    def show_addresses(self, request):
        """Return the addresses that a caller may use for a service."""
        service = request.query.get("service", "")
        state = self.driver.node.state
        if state.config.is_loaded and not state.config.find_service(service):
            return problems.make_problem(
                404, "There is no service %s." % service, NOT_RUN
            )
        answer = self.driver.node.find_addresses(service, self.driver.now())
        if answer is None:
            return problems.make_problem(
                503,
                "This node cannot name addresses yet.",
                NOT_RUN,
                retry_after=1.0,
            )
        response = _make_json_response(
            {
                "service": service,
                "addresses": answer.addresses,
                "validity": answer.validity,
                "key_prefix": answer.key_prefix,
            }
        )
        response.headers["Cache-Control"] = "max-age=%d" % answer.validity
        return response

    def show_status(self, request):
        """Return this node's view of the fleet."""
        state = self.driver.node.state
        members = [
            {
                "node": update.node_id,
                "address": "%s:%d" % (update.ip, update.http_port),
                "availability_zone": update.availability_zone,
                "status": update.status,
            }
            for update in [state.members.local_member]
            + [m.update for m in state.members.members_by_id.values()]
        ]
        return _make_json_response(
            {
                "node": state.node_id,
                "phase": state.planned_stop.phase.value,
                "offset": state.config.offset,
                "serving": state.config.is_loaded,
                "log_answers": not any(
                    p.failed for p in state.stream_progress.values()
                ),
                "unreadable_records": state.unreadable_records,
                "requests": len(state.requests),
                "members": members,
                "services": {
                    name: _describe_service(service_state)
                    for name, service_state in state.services.items()
                },
            }
        )

    def show_config(self, request):
        """Return the configuration in force on this node.

        The query parameter ``change`` names the change whose verdict is
        included.
        """
        config = self.driver.node.state.config
        return _make_json_response(
            {
                "offset": config.offset,
                "serving": config.is_loaded,
                "digest": config.compute_digest(),
                "items": {
                    name: {"offset": item.offset, "body": item.body}
                    for name, item in config.items.items()
                },
                "verdict": config.verdicts.get(request.query.get("change")),
            }
        )

    def show_burn(self, request):
        """Return the service-level burn counted on this node."""
        return _make_json_response(
            {
                "node": self.driver.node.node_id,
                "now": self.driver.now(),
                "classes": self.driver.burn.describe(),
            }
        )

    def show_metrics(self, request):
        """Return the metrics in the Prometheus text format."""
        text = metrics.format_metrics(self.driver)
        return web.Response(
            body=text.encode(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )


def _describe_service(service_state):
    return {
        "floor": ejections.count_floor_slots(service_state),
        "healthy": ejections.count_healthy_slots(service_state),
        "waiting": len(service_state.waiting),
        "in_flight": len(service_state.in_flight),
        "ejections": service_state.ejected,
        "suspicions": service_state.suspected,
        "quarantined": sum(
            s.quarantined for s in service_state.quarantine.suspicions.values()
        ),
        "workers": [
            {
                "worker": worker.worker_id,
                "status": worker.status.value,
                "in_flight": len(worker.in_flight),
                "slots": worker.slots,
                "evidence": round(worker.score, 2),
                "last_resort": worker.last_resort,
            }
            for worker in service_state.workers.values()
        ],
    }


def _make_json_response(document):
    return web.Response(
        body=json.dumps(document).encode(), content_type="application/json"
    )

"""Tests of deployments, steps and results."""

import pytest

from trial import deployment, launcher, metrics_text, report
from trial.caller import settings
from trial.checks import evidence, registry
from trial.relay import build
from trial.steps import context, drains, keys, moves, vms
from trial.steps import registry as step_registry

_REGISTERED = (drains, keys, moves, vms)


@pytest.mark.parametrize(
    ("name", "upstreams", "slots"), [("txiki", 36, 156), ("nool", 46, 342)]
)
def test_deployment_has_the_size_of_the_design_page(name, upstreams, slots):
    """Guards against numbers that differ from section 1 of the design page."""
    plan = deployment.DEPLOYMENTS[name]
    places = deployment.assign_places(plan, 10, True)
    v1_upstreams = [each for each in places.upstreams if each.version == "v1"]
    assert (len(v1_upstreams), sum(each.slots for each in v1_upstreams)) == (
        upstreams,
        slots,
    )
    assert len(places.vms) == 12
    assert len(plan.organisations) == 8


def test_addresses_are_unique_and_each_is_relayed_once():
    """Guards against processes that share an address and missing relay addresses."""
    plan = deployment.DEPLOYMENTS["nool"]
    places = deployment.assign_places(plan, 10, True)
    hosts = [each.host for each in (*places.vms, *places.upstreams)]
    hosts += [places.platform_host, *places.client_hosts.values()]
    hosts += places.relay_hosts.values()
    assert len(set(hosts)) == len(hosts)
    forwards = [
        (each.host, each.port)
        for name, _ in plan.data_centres
        for each in build.build_plan(plan, places, name).forwards
    ]
    assert len(set(forwards)) == len(forwards)
    assert len(forwards) == 2 * len(places.vms) + len(places.upstreams) + 1


def test_relay_delays_follow_the_design_page():
    """Guards against relays that are faster than the deployment's links."""
    plan = deployment.DEPLOYMENTS["txiki"]
    places = deployment.assign_places(plan, 10, True)
    settings_ = build.build_plan(plan, places, "bizkaia-1")
    far = places.client_hosts["navarra-2"]
    near = next(v.host for v in places.vms if v.data_centre == "bizkaia-2")
    own = places.vms[0].host
    assert settings_.find_delay(far) == pytest.approx(0.0175 + 0.0015)
    assert settings_.find_delay(near) == pytest.approx(0.0005)
    assert settings_.find_delay(own) == 0


def test_two_trials_get_different_addresses():
    """Guards against trials that share addresses on one machine."""
    first, first_reservation = launcher.reserve_octet()
    second, second_reservation = launcher.reserve_octet()
    first_reservation.close()
    second_reservation.close()
    assert abs(first - second) >= 2


def test_omitted_steps_are_named():
    """Guards against a small trial that passes without listing the omitted steps."""
    chosen, omitted = step_registry.choose_steps(2)
    assert [each.name for each in omitted] == ["kill an entry VM"]
    assert len(chosen) + len(omitted) == len(step_registry.STEPS)
    assert step_registry.choose_steps(12)[1] == []


def _result(**values):
    facts = evidence.Facts()
    default = report.Result(
        "t", settings.CallerReport([], 0, 0, 0.0), facts, {}, [], [], 1.0
    )
    return default._replace(**values)


def test_exit_code_is_0_only_without_any_fault():
    """Guards against a successful result after a failed step."""
    assert _result().exit_code == 0
    assert _result(errors=["x"]).exit_code == 1
    assert _result(steps=[report.StepResult("s", "", "failed")]).exit_code == 1
    violated = {"v": registry.Violation(1, ["x"])}
    assert _result(violations=violated).exit_code == 1
    assert "FAILED: failed" in report.as_text(
        _result(steps=[report.StepResult("s", "", "failed")])
    )


def test_violation_counts_are_read_from_metrics():
    """Guards against a metric format that the trial cannot parse."""
    text = (
        "# TYPE rattanlug_violations_total counter\n"
        'rattanlug_violations_total{invariant="double_run"} 0\n'
        'rattanlug_violations_total{invariant="key_leak"} 2.0\n'
    )
    assert metrics_text.read_violations(text) == {"double_run": 0, "key_leak": 2}


def test_step_error_is_no_launch_error():
    """Guards against retrying a step error as if a daemon were unreachable."""
    assert not issubclass(context.StepError, launcher.LaunchError)

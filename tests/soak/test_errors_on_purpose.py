"""Daemons that err on purpose, with real processes: the judge sees each error."""

import pytest
import trio

from soak import errors_on_purpose, run, sites

OPTIONS = run.Options(
    7, 7.0, site="few", only="signalled_again,rolled,reloaded", planned=True
)


def _site():
    """Return a small site, of whose requests some last until their time is up."""
    site = sites.SITES["nool-stitch"]
    *routes, last = site.routes
    last = last._replace(work_seconds=1.3 * last.timeout_seconds)
    return site._replace(
        vms=(1, 1, 1, 1, 0, 0), routes=(*routes, last), callers=40, spares=0
    )


def _play(options):
    with pytest.MonkeyPatch.context() as patch:
        patch.setitem(sites.SITES, "few", _site())
        return trio.run(run.execute, options)


@pytest.fixture(scope="module")
def erring():
    names = ",".join(errors_on_purpose.GUARANTEES)
    return _play(OPTIONS._replace(errors=names, error_interval=2.0))


@pytest.mark.parametrize("error", errors_on_purpose.GUARANTEES)
def test_an_error_on_purpose_is_seen_by_its_guarantee(erring, error):
    assert erring.counts[f"error on purpose {error}"] > 0
    assert erring.broken.get(errors_on_purpose.GUARANTEES[error]), erring
    assert erring.verdict == "failed"


@pytest.mark.parametrize("only", ["rolled,reloaded", "signalled_again,reloaded"])
def test_without_errors_on_purpose_these_guarantees_hold(only):
    outcome = _play(OPTIONS._replace(only=only))
    found = set(errors_on_purpose.GUARANTEES.values()) & outcome.broken.keys()
    assert not found, outcome
    assert outcome.counts["vm stopped"] > 0
    assert "vm killed under it" not in outcome.counts


# Guards against cuts and ends around planned work that the freeze of another VM causes.
def test_freezes_beside_planned_work_excuse_no_other_vm():
    outcome = _play(OPTIONS._replace(only="frozen,rolled", beside="vms_frozen"))
    found = set(errors_on_purpose.GUARANTEES.values()) & outcome.broken.keys()
    assert not found, outcome
    names = {each.split()[1] for each in outcome.injected}
    assert names == {"vms_frozen", "vms_rolled"}


def test_an_unknown_error_is_refused(tmp_path):
    with pytest.raises(ValueError, match="unknown errors"):
        errors_on_purpose.ErrorsOnPurpose(tmp_path, "process_ands", 1.0)

"""Guards against a status that misleads operators or is shown without the token."""

import json

from tests.daemon import harness


@harness.in_trio
async def test_status_shows_contact_with_this_vm_as_current_and_needs_the_token():
    async with harness.running() as daemon:
        found = await daemon.ask("GET", "/.rattanlug/status", key=harness.TOKEN)
        assert found.status == 200
        status = json.loads(found.body)
        own = [each for each in status["members"] if each["vm"] == status["vm"]]
        assert own[0]["last_heard_seconds"] == 0
        assert status["state"] == "serving" and not any(status["violations"].values())
        refused = await daemon.ask("GET", "/.rattanlug/status")
        assert refused.status == 401

import pytest

from currantdeal.testing.errors import HarnessError, RefusedError
from currantdeal.testing.processes import ChildProcess
from currantdeal.testing.standin_client import StandInClient


@pytest.fixture
def service(tmp_path):
    child = ChildProcess(
        arguments=["-m", "currantdeal.testing.service", "--id", "shop-1"],
        log_path=tmp_path / "shop.log",
    )
    yield StandInClient(address=child.read_address())
    child.kill()


def test_orders_run_and_are_recorded(service):
    assert service.post("/orders", {"cake": "red velvet"})["number"] == 1
    (run,) = service.runs()
    assert run.path == "/orders"
    assert run.body == '{"cake":"red velvet"}'


def test_an_order_runs_if_its_answer_is_dropped_but_not_if_refused(service):
    service.set_faults(drop_answers=1)
    with pytest.raises(HarnessError):
        service.post("/orders", {})
    service.set_faults(refuse_calls=1)
    with pytest.raises(RefusedError):
        service.post("/orders", {})
    assert len(service.runs()) == 1

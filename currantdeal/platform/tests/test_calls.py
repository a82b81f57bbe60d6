from currantdeal.platform.calls import PlatformCalls


def test_health_check_uses_the_configured_path():
    call = PlatformCalls().check_health("10.0.0.1:80", "/healthz")
    assert (call.method, call.target) == ("GET", "/healthz")

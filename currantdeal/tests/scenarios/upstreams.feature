Feature: Upstreams fail or are withdrawn
  The upstreams belong to a partner, which can withdraw them at short notice.

  Scenario: A transfer stalls
    Given 3 instances with callers
    When the transfers of "prefill-1" stall
    Then callers are served on
    And every promise was kept
    When the transfers of "prefill-1" work again
    Then no engine memory stays held

  Scenario: An upstream is withdrawn while its announcer is cut off
    Given 4 proxied instances, of which one hears the upstreams
    When the instance that hears the upstreams is cut off silently
    And an operator withdraws "prefill-1" elsewhere
    Then "prefill-1" gets no new work after 3 seconds
    When the network is healed
    Then callers are served on
    And "prefill-1" gets no new work after 3 seconds
    And every promise was kept

  Scenario: Operators race under equal versions and resend
    Given 3 instances without load
    When 6 operators apply a selector under one version at once
    Then one of them wins and the others are told of a conflict
    And the winner's resend gets the first answer
    And every instance shows the winner's selector

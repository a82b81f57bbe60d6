Feature: Guarantees for callers
  Three instances in three regions serve callers, with two prefill engines,
  two decode engines and a shop as upstreams, and a fault proxy on every path.

  Background:
    Given a cluster with engines and a shop

  Scenario: A caller hangs up in the middle of a stream
    A caller disconnects while its answer is being generated. Without a cancel
    request the engine would generate the whole output, and other requests
    would wait for the memory that it holds.

    When a caller disconnects in the middle of a long stream
    Then no engine holds memory after 5 seconds
    And no engine has finished the output

  Scenario Outline: The instance that serves a request is killed
    A machine loses power with a request in flight. The caller's connection
    breaks; on the engines the request continues and holds memory for a result
    that no caller will read.

    When the first instance is killed with a request in <stage>
    Then no engine holds memory after 5 seconds
    And another instance serves the same request completely

    Examples:
      | stage    |
      | prefill  |
      | transfer |
      | decode   |

  Scenario Outline: An engine dies in the middle of a request
    The process of an engine crashes while it computes, sends or receives a KV
    cache, or generates output. The content of its memory is lost; without a
    retry the caller would receive an error, or a stream that ends in the
    middle.

    When an engine crashes with a request in <stage>
    Then every stream is complete
    And no engine holds memory after 5 seconds

    Examples:
      | stage   |
      | prefill |
      | export  |
      | import  |
      | decode  |

  Scenario: A transfer stalls
    An engine sends half of a KV cache and then nothing more, while the
    connection stays open. Without a timeout the request would wait forever
    and hold memory at both engines.

    When transfers from one engine stall
    Then every stream is complete or refused with an outcome
    And no engine holds memory after 5 seconds

  Scenario: Every pooled connection goes silent at once
    A firewall or load balancer between instances and engines loses the state
    of all connections that it tracks. No connection is closed and no data
    arrives; a caller would receive a stream that stalls and then ends in the
    middle.

    When every open connection stalls under 6 streams
    Then every stream is complete

  Scenario: An order is sent again at another instance
    A caller's connection breaks before the answer, so that it sends the order
    again, to another instance. A second execution would deliver and charge
    the order twice.

    When an order is sent to two instances at the same time
    Then both attempts receive the same answer
    And the order ran once

  Scenario: The answer of an order is lost
    The shop accepts the order and its answer is lost in the network. The
    system cannot determine whether the order ran, so a retry must neither run
    it again nor report that it did not run.

    When the shop drops the answer to an order
    Then the caller receives the outcome unknown
    And a retry at another instance receives the same outcome
    And the order ran once

  Scenario: The instance that sent an order is killed
    The order has reached the shop when the instance crashes. The caller
    retries at another instance, which must not send the order a second time.

    When the first instance is killed while the shop runs an order
    Then a retry at another instance receives the outcome unknown
    And the order ran once

  Scenario: Answers come late and crossed
    The shop answers slowly while many orders are in flight, so that answers
    arrive in another sequence than the requests. A caller that received
    another caller's answer would see data that is not its own.

    When 12 callers order at the same time while the shop is slow
    Then each caller receives the answer to its own order
    And each order ran once

  Scenario: An upstream is withdrawn while an instance is cut off
    The partner reclaims an engine while the first instance is partitioned
    from the others. That instance does not receive the withdrawal, and would
    send work to an engine that the partner no longer lends, for as long as
    the partition lasts.

    When an engine is withdrawn while the first instance is partitioned
    Then the engine receives no new work after 3 seconds
    And every stream is complete or refused with an outcome

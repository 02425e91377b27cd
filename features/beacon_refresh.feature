Feature: Beacon refresh
  Guards against reads with an age bound below the beacon interval that all go
  to the primary, because no replica has a fresh sample, and against many such
  reads that each send a request to the holder. A sample is the primary's log
  position at a known time.

  Scenario Outline: a beacon is pulled only if the newest sample is too old
    Given a beacon refresher whose newest sample is <age> ms old
    When <reads> beacon reads with a bound of <bound> ms arrive together
    Then <pulls> beacons were pulled

    Examples:
      | age  | reads | bound | pulls |
      | 10   | 1     | 100   | 0     |
      | 50   | 1     | 100   | 0     |
      | 51   | 1     | 100   | 1     |
      | 200  | 20    | 100   | 1     |
      | none | 20    | 100   | 1     |
      | 200  | 1     | 0     | 0     |

  Scenario: an unresponsive holder does not delay a read beyond its timeout
    Given a beacon refresher whose holder does not respond
    When 3 beacon reads with a bound of 100 ms arrive together
    Then 1 beacons were pulled
    And the beacon reads continued without a fresh sample

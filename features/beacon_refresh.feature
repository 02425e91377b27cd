Feature: Beacon refresh
  Reads with an age bound below the beacon interval must not all go to the
  primary, and many such reads must not each ask the holder.

  Scenario Outline: a beacon is pulled only when the newest pair is too old
    Given a beacon refresher whose newest pair is <age> ms old
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

  Scenario: a silent holder does not hold a read beyond its time
    Given a beacon refresher whose holder is silent
    When 3 beacon reads with a bound of 100 ms arrive together
    Then 1 beacons were pulled
    And the beacon reads went on without a fresh pair

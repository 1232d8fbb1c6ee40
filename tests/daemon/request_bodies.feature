Feature: A body that is being received takes no more memory than its bytes

  # Guards against a process that outgrows its memory, as growing buffers are moved about its heap.
  Scenario Outline: the reader of <reader> holds what has arrived, and no more
    When <reader> receives 96 of 100 parts of 60,000 bytes of a body
    Then the parts take 5,760,000 bytes, and 2 % more at most

    Examples:
      | reader      |
      | berylproxyd |
      | platform    |

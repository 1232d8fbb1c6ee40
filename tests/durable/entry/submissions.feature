Feature: An entry daemon submits a best-effort job once to each holder

  # Guards against a submission that is given up although its holder is the new one.
  Scenario: the holder changes at the moment at which a job is submitted
    Given an entry daemon whose holder "former" never answers, and "next" within 0.1 s
    When a best-effort job is submitted to the entry daemon, and "next" becomes the holder at once
    Then the job was submitted to "former" and then to "next", and is completed

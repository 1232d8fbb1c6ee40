Feature: An entry daemon submits a best-effort job once to each holder

  # Guards against a submission that is given up although its holder is the new one.
  Scenario: the holder changes at the moment at which a job is submitted
    Given an entry daemon whose holder "former" never answers, and "next" within 0.1 s
    When a best-effort job is submitted to the entry daemon, and "next" becomes the holder at once
    Then the job was submitted to "next" once, and is completed

  # Guards against a done job that runs again because its holder's reply came after a change.
  Scenario: the former holder says that a job is completed after the next one has got it
    Given an entry daemon whose holder "former" answers within 0.3 s, and "next" never
    When a best-effort job is submitted to the entry daemon, and 0.1 s later "next" becomes the holder
    Then the job is completed within 1 s, and withdrawn from "next"

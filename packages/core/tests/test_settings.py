from persimmonstall.settings import check, unreadable_files

GOOD = "[daemon]\ninstance = e1\nrole = entry\n"


def test_defaults_are_valid():
    settings, problems = check(GOOD)
    assert problems == []
    assert settings.links.subset == 64


def test_all_problems_are_found_at_once():
    text = "[daemon]\nrole = entyr\nporrt = 1\n[linsk]\n[links]\nsubset = 0\n"
    _, problems = check(text, "a.ini")
    places = {(problem.section, problem.option) for problem in problems}
    assert places == {
        ("daemon", "role"),
        ("daemon", "porrt"),
        ("linsk", ""),
        ("links", "subset"),
        ("daemon", "instance"),
    }


def test_a_problem_names_file_section_option_and_allowed_values():
    _, problems = check(GOOD + "[links]\nsubset = many\n", "a.ini")
    assert str(problems[0]) == (
        "a.ini: [links] subset: 'many' is not allowed; it takes a whole number of at least 1"
    )


def test_malformed_file_is_a_problem():
    _, problems = check("no section\n")
    assert len(problems) == 1


def test_a_file_that_cannot_be_read_is_a_problem():
    settings, _ = check(GOOD + "[security]\noperator_keys = /no/such/file\n")
    [problem] = unreadable_files(settings, "a.ini")
    assert (problem.option, problem.message) == ("operator_keys", "/no/such/file cannot be read")

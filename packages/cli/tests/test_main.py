import json

import pytest

from persimmonstall_cli import exits
from persimmonstall_cli.main import main

GOOD = "[daemon]\ninstance = e1\n"


@pytest.fixture
def settings_file(tmp_path):
    path = tmp_path / "a.ini"
    path.write_text(GOOD, encoding="utf-8")
    return path


def test_no_arguments_lists_the_commands(capsys):
    assert main([]) == exits.USAGE
    assert "config check" in capsys.readouterr().out


def test_a_near_miss_names_the_nearest_command(capsys):
    assert main(["confg", "check", "x"]) == exits.USAGE
    assert 'did you mean "config check"?' in capsys.readouterr().err


def test_help_names_the_flags(capsys):
    assert main(["config", "check", "--help"]) == exits.SUCCESS
    assert "--json" in capsys.readouterr().out


def test_a_wrong_flag_is_a_usage_error(capsys):
    assert main(["config", "check", "--jsno", "x"]) == exits.USAGE
    assert "jsno" in capsys.readouterr().err


def test_config_check_accepts_a_good_file(settings_file, capsys):
    assert main(["config", "check", str(settings_file), "--json"]) == exits.SUCCESS
    assert json.loads(capsys.readouterr().out)[0]["result"] == "ok"


def test_config_check_names_file_section_option_and_what_is_allowed(settings_file, capsys):
    settings_file.write_text(GOOD + "[links]\nsubset = 0\n", encoding="utf-8")
    assert main(["config", "check", str(settings_file)]) == exits.USAGE
    error = capsys.readouterr().err
    assert f"{settings_file}: [links] subset: '0' is not allowed" in error
    assert "a whole number of at least 1" in error

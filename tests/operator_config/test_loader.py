"""Loading the operator's file, alone and from the command line."""

import subprocess
import sys

import pytest
from program_support import CONFIG, ROOT, command

from valeturn.operator_config import loader
from valeturn.server import configuration

VALID_TEXT = """# stored results
[store]
folder = /tmp/kept   ; made where it is missing
disk = 64 MB
retry = 250 ms
"""


def configuration_with_memory(memory_mb):
    return configuration.decode(CONFIG)._replace(memory_mb=memory_mb)


def test_memory_over_the_limit_of_the_process_is_reported_with_its_line(tmp_path, options_modules):
    file = tmp_path / "v.ini"
    file.write_text(VALID_TEXT + "memory = 64 MB\n")
    assert (
        loader.load(str(file), configuration_with_memory(192), options_modules).get("store").memory
        == 64_000_000
    )
    with pytest.raises(loader.OperatorConfigError) as raised:
        loader.load(str(file), configuration_with_memory(80), options_modules)
    (fault,) = raised.value.faults
    assert (fault.line, fault.rule) == (6, "over-the-limits") and "52 MB" in fault.text
    with pytest.raises(loader.OperatorConfigError):
        loader.load(str(tmp_path / "none.ini"), configuration_with_memory(96), options_modules)


def test_check_and_serve_exit_with_the_faults_of_an_invalid_file(tmp_path):
    bad = tmp_path / "v.ini"
    bad.write_text("[store]\nfolder = k\nretry = 5\n")
    for words in (("check", "examples/config.json"), ("serve", "--config", "examples/config.json")):
        done = command(*words, "--settings", str(bad))
        assert (
            done.returncode == 2 and done.stderr.count("\n") == 2 and "v.ini:3:9: missing-unit" in done.stderr
        )
    bad.write_text("[store]\nfolder = /k\n")
    done = command("check", "examples/config.json", "--settings", str(bad))
    assert done.returncode == 0 and "store" in done.stdout
    assert CONFIG["name"] == "toy"


def test_nothing_of_the_package_is_loaded_without_an_operators_file():
    code = (
        "import sys; from valeturn.server import server, configuration; from valeturn.server.logs import *;"
        "import json; c = configuration.decode(json.load(open('examples/config.json')));"
        "server.Server(c, lambda *_, **__: None);"
        "heavy = ('lark', 'msgpack', 'blake3', 'google_crc32c', 'valeturn.result_store',"
        " 'valeturn.operator_config', 'valeturn.lab');"
        "print([name for name in heavy if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr

"""Loading the operator's file: by the loader, by a child process, and from the command line."""

import subprocess
import sys

import pytest
from program_support import CONFIG, ROOT, command

from valeturn.operator_config import loader, reader_process
from valeturn.server import components, configuration


def configuration_with_memory(memory_mb):
    return configuration.decode(CONFIG)._replace(memory_mb=memory_mb)


def test_memory_over_the_limit_of_the_process_is_reported_with_its_line(
    tmp_path, options_modules, valid_text
):
    file = tmp_path / "v.ini"
    file.write_text(valid_text + "memory = 64 MB\n")
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


def test_faults_between_sections_are_reported_by_the_modules_that_depend_on_others(tmp_path, options_modules):
    file = tmp_path / "v.ini"
    file.write_text("[turns]\n")
    with pytest.raises(loader.OperatorConfigError) as raised:
        loader.load(str(file), configuration_with_memory(192), options_modules)
    assert [(fault.line, fault.rule) for fault in raised.value.faults] == [(1, "no-fleet")]
    dependent = {
        name for name, module in options_modules.items() if isinstance(module, loader.ChecksSections)
    }
    assert dependent == {"turns", "duty"}


def test_child_process_returns_the_options_or_the_faults_of_a_file(tmp_path, options_modules, valid_text):
    file = tmp_path / "v.ini"
    file.write_text(valid_text)
    deployment = configuration_with_memory(192)
    loaded = loader.load_in_child_process(str(file), deployment, components.options_modules)
    assert loaded == loader.load(str(file), deployment, options_modules)
    file.write_text("[store]\n")
    with pytest.raises(loader.OperatorConfigError) as raised:
        loader.load_in_child_process(str(file), deployment, components.options_modules)
    assert [(fault.line, fault.rule) for fault in raised.value.faults] == [(1, "missing-key")]


def test_child_process_that_sends_nothing_is_a_fault_of_the_whole_file(tmp_path, options_modules, valid_text):
    file = tmp_path / "v.ini"
    file.write_text(valid_text)
    deployment = configuration_with_memory(192)
    with pytest.raises(loader.OperatorConfigError) as raised:
        loader.load_in_child_process(
            str(file), deployment, components.options_modules, lambda connection: b""
        )
    assert str(raised.value) == f"{file}: unreadable: its reader ended without a reply"


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


def test_file_may_be_a_descriptor_passed_by_a_shell(tmp_path):
    """`--settings <(command)` and `--settings /dev/stdin` name one; the reader inherits no other one."""
    text = f"[store]\nfolder = {tmp_path}\n".encode()
    for descriptor, path in ((0, "/dev/stdin"), (7, "/dev/fd/7"), (7, "/proc/self/fd/7")):
        code = (
            f"import os, sys; read, write = os.pipe(); os.write(write, {text!r}); os.close(write);"
            f"os.dup2(read, {descriptor}); from valeturn.server.commands import main;"
            f"sys.exit(main(['check', 'examples/config.json', '--settings', {path!r}]))"
        )
        done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
        assert (done.returncode, done.stderr) == (0, "") and f"good: {path}: store" in done.stdout


def test_error_of_a_failed_reader_is_reported(tmp_path, valid_text):
    file = tmp_path / "v.ini"
    file.write_text(valid_text)
    with pytest.raises(loader.OperatorConfigError) as raised:
        loader.load_in_child_process(str(file), configuration_with_memory(192), no_modules)
    error = ModuleNotFoundError("No module named 'test_loader'")
    assert str(raised.value) == f"{file}: unreadable: its reader failed: {error!r}"


def no_modules():
    """Return nothing: the reader does not find this module, as the tests' folder is not on its path."""
    return {}


def test_incomplete_reply_is_not_parsed():
    reply = reader_process.frame_reply(["a", 1])
    assert reader_process.parse_reply(reply) == ["a", 1]
    assert [reader_process.parse_reply(reply[:size]) for size in range(len(reply))] == [None] * len(reply)


def test_reader_that_can_t_be_started_for_lack_of_descriptors_is_a_fault_and_leaves_none_open(tmp_path):
    file = tmp_path / "v.ini"
    file.write_text("[store]\nfolder = /tmp/kept\n")
    code = (
        "import json, os, resource; from valeturn.operator_config import loader;"
        "from valeturn.server import components, configuration;"
        "deployment = configuration.decode(json.load(open('examples/config.json')));"
        "opened = lambda: sorted(os.listdir('/proc/self/fd')); before = opened();"
        "resource.setrlimit(resource.RLIMIT_NOFILE, (len(before) + {spare}, 4096));\n"
        "try: loader.load_in_child_process({file!r}, deployment, components.options_modules)\n"
        "except loader.OperatorConfigError as error: print(error)\n"
        "resource.setrlimit(resource.RLIMIT_NOFILE, (4096, 4096)); print(opened() == before)"
    )
    for spare in range(4):
        words = [sys.executable, "-c", code.format(spare=spare, file=str(file))]
        done = subprocess.run(words, cwd=ROOT, capture_output=True, text=True)
        fault, descriptors_unchanged = done.stdout.splitlines()
        assert (
            "unreadable: its reader can't be started: [Errno 24]" in fault and descriptors_unchanged == "True"
        )

import subprocess
import sys

from persimmonstall_standins.ports import free_ports

CODE = """
import sys
from persimmonstall_standins.ports import free_ports
print(*free_ports(20), flush=True)
sys.stdin.read()
"""


def test_ports_of_a_stopped_process_are_not_given_to_another_test_process():
    command = [sys.executable, "-c", CODE]
    others = [
        subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        for _ in range(4)
    ]
    ports = [free_ports(20), *(map(int, other.stdout.readline().split()) for other in others)]
    for other in others:
        other.communicate()
    given = [port for some in ports for port in some]
    assert len(set(given)) == len(given) == 100

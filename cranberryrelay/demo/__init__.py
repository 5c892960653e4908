"""The demo: a whole deployment in one process, on embedded stand-ins."""

from cranberryrelay.demo._demo import ACCEPT_SECONDS as ACCEPT_SECONDS
from cranberryrelay.demo._demo import EXPLAINED_REQUESTS as EXPLAINED_REQUESTS
from cranberryrelay.demo._demo import JOB_COUNT as JOB_COUNT
from cranberryrelay.demo._demo import (
    ORDER_DURATION_SECONDS as ORDER_DURATION_SECONDS,
)
from cranberryrelay.demo._demo import READY_SECONDS as READY_SECONDS
from cranberryrelay.demo._demo import RENEWAL_COUNT as RENEWAL_COUNT
from cranberryrelay.demo._demo import SEED as SEED
from cranberryrelay.demo._demo import (
    STORE_TIMEOUT_SECONDS as STORE_TIMEOUT_SECONDS,
)
from cranberryrelay.demo._demo import change_note as change_note
from cranberryrelay.demo._demo import explain_sample as explain_sample
from cranberryrelay.demo._demo import main as main
from cranberryrelay.demo._demo import print_progress as print_progress
from cranberryrelay.demo._demo import report as report
from cranberryrelay.demo._demo import run_demo as run_demo
from cranberryrelay.demo._demo import send_work as send_work
from cranberryrelay.demo._demo import wait_until_serving as wait_until_serving
from cranberryrelay.demo._deployment import LOOPBACK as LOOPBACK
from cranberryrelay.demo._deployment import SOFIA as SOFIA
from cranberryrelay.demo._deployment import Deployment as Deployment
from cranberryrelay.demo._deployment import RunningInstance as RunningInstance
from cranberryrelay.demo._deployment import Site as Site
from cranberryrelay.demo._deployment import find_free_ports as find_free_ports
from cranberryrelay.demo._deployment import open_deployment as open_deployment
from cranberryrelay.demo._deployment import plan_deployment as plan_deployment
from cranberryrelay.demo._deployment import start_instance as start_instance
from cranberryrelay.demo._note import NOTE_TEXT as NOTE_TEXT
from cranberryrelay.demo._note import NOTE_TEXT_AMENDED as NOTE_TEXT_AMENDED
from cranberryrelay.demo._work import KINDS as KINDS
from cranberryrelay.demo._work import MIN_PROMPT_LENGTH as MIN_PROMPT_LENGTH
from cranberryrelay.demo._work import (
    REQUEST_TIMEOUT_SECONDS as REQUEST_TIMEOUT_SECONDS,
)
from cranberryrelay.demo._work import TOKEN as TOKEN
from cranberryrelay.demo._work import Job as Job
from cranberryrelay.demo._work import Tally as Tally
from cranberryrelay.demo._work import classify_answer as classify_answer
from cranberryrelay.demo._work import make_job as make_job
from cranberryrelay.demo._work import make_tally as make_tally
from cranberryrelay.demo._work import read_answer as read_answer
from cranberryrelay.demo._work import send_job as send_job
from cranberryrelay.demo._work import send_renewal as send_renewal

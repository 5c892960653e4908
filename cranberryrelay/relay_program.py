"""Command line program of one instance on the target platform."""

from typing import Any, Final

import fire
import msgspec
import trio
from result import Result

from cranberryrelay.codes import Failure
from cranberryrelay.platform import (
    find_boot_path,
    open_target_store,
    parse_boot_settings,
    read_boot_text,
)
from cranberryrelay.relay import (
    AccountLookup,
    explain_request,
    read_archived_note,
)
from cranberryrelay.relay_instance import run_instance, unwrap_or_exit
from cranberryrelay.startup import INVALID_SETTINGS_EXIT_STATUS

LOOKUP_FAILED_STATUS: Final = 1


class RelayCommands:
    """Commands of the instance's command line."""

    def run(self, path: str = '') -> None:
        """Serve until SIGTERM or SIGINT.

        ``path`` is the settings file and defaults to the platform's.
        """
        run_instance(path)

    def explain(self, request_id: str, store: str) -> str:
        """Print which note revision was in force for a request.

        ``store`` is the URL of the platform's store; no instance is asked.
        """
        result = trio.run(_explain, str(request_id), store)
        lookup = unwrap_or_exit(result, LOOKUP_FAILED_STATUS)
        return (
            f'{lookup.request_id}: revision {lookup.revision}, admitted by '
            f'{lookup.instance}, segment {lookup.segment}'
        )

    def note(self, revision: int, store: str) -> str:
        """Print the release note of a revision as JSON.

        ``store`` is the URL of the platform's store; no instance is asked.
        """
        result = trio.run(_read_note, revision, store)
        note = unwrap_or_exit(result, LOOKUP_FAILED_STATUS)
        return msgspec.json.encode(note).decode()

    def check_settings(self, path: str = '') -> str:
        """Check the settings file without starting the instance."""
        text = read_boot_text(path or find_boot_path())
        unwrap_or_exit(
            text.and_then(parse_boot_settings), INVALID_SETTINGS_EXIT_STATUS
        )
        return 'settings: no fault'


async def _read_note(revision: int, url: str) -> Result[Any, Failure]:
    async with open_target_store(url) as store:
        return await read_archived_note(store, revision)


async def _explain(request_id: str, url: str) -> Result[AccountLookup, Failure]:
    async with open_target_store(url) as store:
        return await explain_request(store, request_id)


def main() -> None:
    """Run the command line."""
    fire.Fire(RelayCommands)


if __name__ == '__main__':
    main()

"""Numbered settings on the machine's disk: copies of records of the replicated log."""

from pathlib import Path


class SettingsFiles:
    """One file for each number, whole or absent."""

    def __init__(self, folder: Path) -> None:
        """Use `folder`, which is created with the first file."""
        self.folder = folder

    def _path(self, number: int) -> Path:
        return self.folder / f"{number}.json"

    def exists(self, number: int) -> bool:
        """Tell whether the settings with this number are here."""
        return self._path(number).exists()

    def read(self, number: int) -> bytes:
        """Return the content of the settings with this number.

        Raises:
            OSError: They are not here or can't be read.
        """
        return self._path(number).read_bytes()

    def write(self, number: int, content: bytes) -> None:
        """Store settings under their number, replaced as a whole.

        Raises:
            OSError: They can't be written.
        """
        path = self._path(number)
        self.folder.mkdir(exist_ok=True)
        temporary = path.with_suffix(".new")
        temporary.write_bytes(content)
        temporary.rename(path)

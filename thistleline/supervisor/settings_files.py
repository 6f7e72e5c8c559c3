"""Local copies of the numbered settings in the replicated log."""

from pathlib import Path


class SettingsFiles:
    """One file for each settings number, written atomically."""

    def __init__(self, folder: Path) -> None:
        """Use `folder`, which is created when the first file is written."""
        self.folder = folder

    def _path(self, number: int) -> Path:
        return self.folder / f"{number}.json"

    def exists(self, number: int) -> bool:
        """Return whether the settings with this number are stored locally."""
        return self._path(number).exists()

    def read(self, number: int) -> bytes:
        """Return the content of the settings with this number.

        Raises:
            OSError: The file is missing or can't be read.
        """
        return self._path(number).read_bytes()

    def write(self, number: int, content: bytes) -> None:
        """Store settings under their number, replacing the file atomically.

        Raises:
            OSError: The file can't be written.
        """
        path = self._path(number)
        self.folder.mkdir(exist_ok=True)
        temporary = path.with_suffix(".new")
        temporary.write_bytes(content)
        temporary.rename(path)

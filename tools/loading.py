"""Imports the tools of this folder, whose file names have no suffix, as modules."""

import importlib.machinery
import importlib.util
import pathlib
import sys

TOOLS_DIR = pathlib.Path(__file__).resolve().parent


def load_tool(name):
    """Returns the tool of this name as a module; each is loaded once."""
    if name in sys.modules:
        return sys.modules[name]
    loader = importlib.machinery.SourceFileLoader(name, str(TOOLS_DIR / name))
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader(name, loader))
    sys.modules[name] = module
    loader.exec_module(module)
    return module

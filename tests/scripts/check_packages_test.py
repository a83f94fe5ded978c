#!/usr/bin/env python3
"""scripts/check-packages on small projects, each of which uses one thing that
its deploy file does not list."""
import json
import subprocess
import tempfile
import unittest
from pathlib import Path

CHECK = Path(__file__).resolve().parents[2] / "scripts/check-packages"

NINJA = "cmake -G Ninja -S . -B target && ninja -C target app"
MAKE = "cmake -G 'Unix Makefiles' -S . -B target && cmake --build target"
LISTED = ["cmake", "ninja-build", "g++"]
CMAKE_LISTS = """cmake_minimum_required(VERSION 3.25)
project(app LANGUAGES CXX)
{before}
add_executable(app main.cpp)
{after}
"""


class Project:
    """A checkout of one program, with a deploy file."""

    def __init__(self, root):
        self.root_ = root
        self.build_ = NINJA
        self.packages_ = LISTED
        self.before_ = ""
        self.after_ = ""
        self.files_ = {"main.cpp": "int main() {}\n"}

    def write(self):
        self.files_["CMakeLists.txt"] = CMAKE_LISTS.format(before=self.before_, after=self.after_)
        self.files_["deploy/system.toml"] = (
            f"build = {json.dumps(self.build_)}\npackages = {json.dumps(self.packages_)}\n"
            '[roles.app]\nrun = "target/app --settings x"\n')
        for name, text in self.files_.items():
            (self.root_ / name).parent.mkdir(parents=True, exist_ok=True)
            (self.root_ / name).write_text(text)
        subprocess.run(["git", "init", "-q", str(self.root_)], check=True)

    def check(self, *options):
        self.write()
        run = subprocess.run([CHECK, "--root", self.root_, *options], text=True,
                             stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        return run.returncode, run.stdout


class CheckPackagesTest(unittest.TestCase):
    def setUp(self):
        self.folder_ = tempfile.TemporaryDirectory(prefix="check-packages-test-")
        self.addCleanup(self.folder_.cleanup)
        self.project_ = Project(Path(self.folder_.name))

    def assert_refused(self, *said):
        status, output = self.project_.check()
        self.assertEqual(status, 1, output)
        for text in said:
            self.assertIn(text, output)

    def test_build_of_listed_packages_passes(self):
        status, output = self.project_.check("--list")
        self.assertEqual(status, 0, output)
        self.assertIn("ninja-build: 1 program; listed", output)
        self.assertIn("libc6-dev", output)

    # A header that stands on our machines is missing on the users'.
    def test_header_of_an_unlisted_package_is_refused(self):
        self.project_.files_["main.cpp"] = "#include <flatbuffers/base.h>\nint main() {}\n"
        self.assert_refused("header of libflatbuffers-dev")

    def test_header_of_a_listed_package_passes(self):
        self.project_.files_["main.cpp"] = "#include <flatbuffers/base.h>\nint main() {}\n"
        self.project_.packages_ = [*LISTED, "libflatbuffers-dev"]
        status, output = self.project_.check()
        self.assertEqual(status, 0, output)

    # Guards against the failure of a required find_package on a clean machine.
    def test_cmake_module_of_an_unlisted_package_is_refused(self):
        self.project_.before_ = "find_package(Catch2 2 REQUIRED)"
        self.assert_refused("module of catch2")

    # Nothing of the library is included, so only the linker reads it.
    def test_library_of_an_unlisted_package_is_refused(self):
        self.project_.after_ = "target_link_libraries(app PRIVATE crypto)"
        self.assert_refused("library of libssl-dev")

    def test_compiler_launcher_of_an_unlisted_package_is_refused(self):
        self.project_.before_ = ("find_program(CCACHE ccache)\n"
                                 "set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE})")
        self.assert_refused("program of ccache")

    def test_compiler_launcher_named_by_its_path_is_refused(self):
        self.project_.before_ = "set(CMAKE_CXX_COMPILER_LAUNCHER /usr/bin/ccache)"
        self.assert_refused("program of ccache")

    def test_generator_of_an_unlisted_package_is_refused(self):
        self.project_.build_ = MAKE
        self.assert_refused("program of make", "no build.ninja")

    # A find module of CMake runs pkg-config where it is installed.
    def test_program_that_a_find_module_looks_up_is_refused(self):
        self.project_.before_ = "find_package(PkgConfig QUIET)"
        self.assert_refused("program of pkgconf")

    def test_program_run_while_configuring_is_refused(self):
        self.project_.before_ = "execute_process(COMMAND git --version OUTPUT_QUIET ERROR_QUIET)"
        self.assert_refused("program of git")

    def test_build_that_reads_the_tests_is_refused(self):
        self.project_.after_ = "add_subdirectory(tests)"
        self.project_.files_["tests/CMakeLists.txt"] = "enable_testing()\n"
        self.assert_refused("the project's tests/")

    def test_build_that_downloads_is_refused(self):
        self.project_.before_ = ("file(DOWNLOAD http://127.0.0.2:9/x ${CMAKE_BINARY_DIR}/x STATUS S)\n"
                                 "list(GET S 0 Code)\n"
                                 "if(Code)\nmessage(FATAL_ERROR \"no download: ${S}\")\nendif()")
        self.assert_refused("no download")

    def test_build_that_writes_outside_of_its_folder_is_refused(self):
        self.project_.before_ = "file(WRITE ${CMAKE_SOURCE_DIR}/left-behind x)"
        self.assert_refused("the build ends with 1")

    def test_build_without_the_program_of_a_role_is_refused(self):
        self.project_.build_ = "cmake -G Ninja -S . -B target"
        self.assert_refused("target/app is not built")


if __name__ == "__main__":
    unittest.main()

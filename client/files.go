package client

import (
	"os"
	"path/filepath"
	"strings"

	"marjoramsaddle/core/document"
)

// loadDocuments reads and validates documents. A path that is a folder stands
// for the files in it whose names end in .json. The faults are those of the
// documents; the error is a file that cannot be read.
func loadDocuments(paths []string) (*document.Set, []error, error) {
	files, err := expandFolders(paths)
	if err != nil {
		return nil, nil, err
	}
	set := document.NewSet()
	var faults []error
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, readError(err)
		}
		if err := set.Add(file, data); err != nil {
			faults = append(faults, err)
		}
	}
	if len(faults) > 0 {
		return set, faults, nil
	}
	if err := set.Validate(); err != nil {
		faults = append(faults, err)
	}
	return set, faults, nil
}

// loadValidDocuments reads documents and fails with the first fault, if any.
func loadValidDocuments(paths []string) (*document.Set, error) {
	set, faults, err := loadDocuments(paths)
	if err != nil {
		return nil, err
	}
	if len(faults) > 0 {
		return nil, &Error{ExitCode: CheckFailed, Problem: faults[0].Error(), Remedy: "marjoramsaddle check shows all faults"}
	}
	return set, nil
}

func expandFolders(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, readError(err)
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		jsonPaths, err := jsonFiles(path)
		if err != nil {
			return nil, err
		}
		files = append(files, jsonPaths...)
	}
	return files, nil
}

func jsonFiles(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, readError(err)
	}
	var files []string
	for _, entry := range entries {
		if !entry.IsDir() && strings.HasSuffix(entry.Name(), ".json") {
			files = append(files, filepath.Join(folder, entry.Name()))
		}
	}
	if len(files) == 0 {
		return nil, &Error{ExitCode: Usage, Problem: folder + " holds no .json file", Remedy: "name a folder with documents"}
	}
	return files, nil
}

func readError(err error) error {
	return &Error{ExitCode: Usage, Problem: err.Error(), Remedy: "check the path and its permissions"}
}

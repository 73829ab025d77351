package client

import (
	"os"
	"path/filepath"
	"strings"

	"marjoramsaddle/core/document"
)

// load reads documents from files. A folder stands for the files in it whose
// names end in .json.
func load(paths []string) (*document.Set, []error, error) {
	files, err := expand(paths)
	if err != nil {
		return nil, nil, err
	}
	set := document.NewSet()
	var faults []error
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, nil, unreadable(err)
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

// loadValid reads documents and fails unless all of them are valid.
func loadValid(paths []string) (*document.Set, error) {
	set, faults, err := load(paths)
	if err != nil {
		return nil, err
	}
	if len(faults) > 0 {
		return nil, &Error{ExitCode: CheckFailed, Problem: faults[0].Error(), Remedy: "marjoramsaddle check shows all faults"}
	}
	return set, nil
}

func expand(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, unreadable(err)
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		inside, err := jsonFiles(path)
		if err != nil {
			return nil, err
		}
		files = append(files, inside...)
	}
	return files, nil
}

func jsonFiles(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, unreadable(err)
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

func unreadable(err error) error {
	return &Error{ExitCode: Usage, Problem: err.Error(), Remedy: "check the path and its permissions"}
}

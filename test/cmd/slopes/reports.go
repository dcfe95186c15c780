package main

func measureReports() ([]Slope, error) { return nil, nil }

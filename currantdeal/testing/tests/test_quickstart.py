from currantdeal.testing.quickstart import Quickstart


def test_the_quickstart_works_with_three_instances(tmp_path):
    quickstart = Quickstart(folder=tmp_path)
    with quickstart.cluster:
        quickstart.run()

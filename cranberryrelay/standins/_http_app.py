"""HTTP app of all stand-ins; the requested port selects the stand-in.

docs/INTERFACES.md describes the requests and replies.
"""

from quart_trio import QuartTrio

from cranberryrelay.standins._platform_routes import PlatformRoutes
from cranberryrelay.standins._standins import StandIns
from cranberryrelay.standins._upstream_routes import UpstreamRoutes


def make_standins_app(standins: StandIns) -> QuartTrio:
    """Make the HTTP app of all stand-ins."""
    app = QuartTrio('cranberryrelay.standins')
    platform = PlatformRoutes(standins.store)
    upstream = UpstreamRoutes(standins)
    app.get('/objects')(platform.list_objects)
    app.get('/objects/<path:key>')(platform.read_object)
    app.put('/objects/<path:key>')(platform.write_object)
    app.get('/watch/<path:key>')(platform.watch_object)
    app.get('/instances')(platform.list_instances)
    app.put('/instances/<name>')(platform.put_instance)
    app.delete('/instances/<name>')(platform.delete_instance)
    app.post('/generate')(upstream.generate)
    app.post('/orders')(upstream.execute_order)
    app.get('/load')(upstream.report_load)
    app.put('/faults')(upstream.switch_faults)
    app.post('/crash')(upstream.crash)
    app.route('/call/<path:route>', methods=['GET', 'POST', 'DELETE'])(
        upstream.call_service
    )
    return app
